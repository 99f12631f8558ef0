package slope

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"damaskreach/internal/node"
	"damaskreach/internal/stand/site"
)

const (
	settleTime  = 15 * time.Second
	idleTime    = 30 * time.Second
	changeCount = 10
	changeTime  = 6 * time.Second
	busyCount   = 200 // requests, of which every node is entry in turn
)

// use is what one node uses a second, idle, and what one request costs beside.
type use struct {
	mesh    float64 // bytes between nodes, in and out
	reads   float64 // of the table service
	writes  float64
	table   float64 // bytes from and to the table service
	cpu     float64 // milliseconds, with the share of the stand-ins
	change  float64 // bytes between nodes, in and out, for one changed row, at each node
	request float64 // bytes between nodes for one request, at all nodes together
}

// measureSite runs a site in virtual time and counts.
func measureSite(b bubble, nodes, engines int) (u use, err error) {
	b(func() { u, err = idleSite(nodes, engines) })
	return u, err
}

// idleSite counts while a site is idle, while rows change and while requests come.
func idleSite(nodes, engines int) (use, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var bytes atomic.Int64
	s := site.NewSite(1, engines)
	s.Prepare = func(n *node.Node) { countPeers(n, &bytes) }
	defer func() {
		cancel()
		for i := range nodes {
			s.Wait(i)
		}
		time.Sleep(time.Minute)
	}()
	err := s.Start(ctx, 100)
	for i := range nodes {
		s.StartNode(ctx, i)
	}
	if err != nil {
		return use{}, err
	}
	time.Sleep(settleTime)
	for i := range engines {
		s.Complete(ctx, i%nodes, site.AdapterName(i), "prompt", 16, nil)
	}
	time.Sleep(settleTime)
	u, idle := idleUse(s, nodes, &bytes)
	changed, err := change(ctx, s, &bytes, idle)
	if err != nil {
		return use{}, err
	}
	u.change = changed * 2 / float64(nodes)
	before, begin := bytes.Load(), time.Now()
	for i := range busyCount {
		s.Complete(ctx, i%nodes, site.AdapterName(i%engines), "prompt", 16, nil)
	}
	u.request = max(0, float64(bytes.Load()-before)-idle*time.Since(begin).Seconds()) / busyCount
	time.Sleep(time.Minute) // lets what the requests began end
	return u, nil
}

// countPeers counts the bytes of the connections between nodes, which go to port 7000.
func countPeers(n *node.Node, bytes *atomic.Int64) {
	dial := n.Dial
	n.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		if err == nil && strings.HasSuffix(addr, ":7000") {
			c = &counted{Conn: c, bytes: bytes}
		}
		return c, err
	}
}

// idleUse returns what a node uses while nothing is asked, and the bytes a second between all nodes.
func idleUse(s *site.Site, nodes int, bytes *atomic.Int64) (u use, idle float64) {
	reads, writes, table := s.DB.Count("")
	before, cpu := bytes.Load(), processor()
	time.Sleep(idleTime)
	spent := processor() - cpu
	sent := float64(bytes.Load() - before)
	r, w, b := s.DB.Count("")
	per := float64(nodes) * idleTime.Seconds()
	u = use{mesh: 2 * sent / per, reads: float64(r-reads) / per, writes: float64(w-writes) / per, table: float64(b-table) / per, cpu: 1000 * spent / per}
	return u, sent / idleTime.Seconds()
}

// change changes a row several times and returns the bytes between nodes for each, without the idle ones.
func change(ctx context.Context, s *site.Site, bytes *atomic.Int64, idle float64) (float64, error) {
	row, err := s.DB.Table().Read(ctx, "conf/adapter/"+site.AdapterName(7))
	if err != nil {
		return 0, err
	}
	before := bytes.Load()
	for range changeCount {
		if row.Rev, err = s.DB.Table().Write(ctx, row); err != nil {
			return 0, err
		}
		time.Sleep(changeTime)
	}
	return (float64(bytes.Load()-before) - idle*changeTime.Seconds()*changeCount) / changeCount, nil
}

// processor returns the seconds of processor time that this process has used.
func processor() float64 {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return float64(r.Utime.Nano()+r.Stime.Nano()) / 1e9
}

// counted counts the bytes of a connection in both directions.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what is read.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what is written.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
