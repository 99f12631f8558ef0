package slopes_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
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

// measureSite runs a site in virtual time and counts. Bytes between nodes are those of connections to port 7000.
func measureSite(t *testing.T, nodes, engines int) use {
	var u use
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var bytes atomic.Int64
		s := site.NewSite(1, engines)
		s.Prepare = func(n *node.Node) {
			dial := n.Dial
			n.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
				c, err := dial(ctx, addr)
				if err == nil && strings.HasSuffix(addr, ":7000") {
					c = &counted{Conn: c, bytes: &bytes}
				}
				return c, err
			}
		}
		if err := s.Start(ctx, 100); err != nil {
			t.Fatal(err)
		}
		for i := range nodes {
			s.StartNode(ctx, i)
		}
		time.Sleep(settleTime)
		for i := range engines {
			s.Complete(ctx, i%nodes, fmt.Sprintf("adapter-%d", i), "prompt", 16, nil)
		}
		time.Sleep(settleTime)
		reads, writes, table := s.DB.Count("")
		before, cpu := bytes.Load(), processor()
		time.Sleep(idleTime)
		spent := processor() - cpu
		idle := float64(bytes.Load() - before)
		r, w, b := s.DB.Count("")
		per := float64(nodes) * idleTime.Seconds()
		u = use{mesh: 2 * idle / per, reads: float64(r-reads) / per, writes: float64(w-writes) / per, table: float64(b-table) / per, cpu: 1000 * spent / per}
		u.change = change(ctx, t, s, &bytes, idle/idleTime.Seconds()) * 2 / float64(nodes)
		before = bytes.Load()
		begin := time.Now()
		for i := range busyCount {
			s.Complete(ctx, i%nodes, fmt.Sprintf("adapter-%d", i%engines), "prompt", 16, nil)
		}
		took := time.Since(begin).Seconds()
		u.request = max(0, float64(bytes.Load()-before)-idle*took/idleTime.Seconds()) / busyCount
		time.Sleep(time.Minute) // lets what the requests began end
		cancel()
		for i := range nodes {
			s.Wait(i)
		}
		time.Sleep(time.Minute)
	})
	return u
}

// change changes a row several times and returns the bytes between nodes for each, without the idle ones.
func change(ctx context.Context, t *testing.T, s *site.Site, bytes *atomic.Int64, idle float64) float64 {
	row, err := s.DB.Table().Read(ctx, "conf/adapter/"+site.AdapterName(7))
	if err != nil {
		t.Fatal(err)
	}
	before := bytes.Load()
	for range changeCount {
		if row.Rev, err = s.DB.Table().Write(ctx, row); err != nil {
			t.Fatal(err)
		}
		time.Sleep(changeTime)
	}
	return (float64(bytes.Load()-before) - idle*changeTime.Seconds()*changeCount) / changeCount
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
