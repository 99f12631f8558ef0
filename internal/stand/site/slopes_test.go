//go:build !race

package site_test

import (
	"context"
	"flag"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/node"
	"damaskreach/internal/stand/site"
)

var sizes = flag.String("sizes", "7", "numbers of nodes to measure, with commas between them")

const (
	window       = 20 * time.Second // of idle traffic
	look         = 100 * time.Millisecond
	mostTakeover = 25 * time.Second
	edits        = 5
)

// counted counts what passes over the connections that nodes open to each other.
type counted struct {
	net.Conn
	messages, bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.messages.Add(1)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.messages.Add(1)
	c.bytes.Add(int64(n))
	return n, err
}

// Sites of several sizes without callers: what control costs, how long a takeover takes and how long it takes until an
// edit is in force. make slopes runs more sizes.
func TestSlopes(t *testing.T) {
	for size := range strings.SplitSeq(*sizes, ",") {
		n, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) { measure(t, n) })
	}
}

func measure(t *testing.T, n int) {
	ctx, cancel := context.WithCancel(t.Context())
	w := &world{Site: site.NewSite(1, n), t: t, ctx: ctx, shut: map[int]bool{}}
	var messages, bytes atomic.Int64
	w.Prepare = func(n *node.Node) {
		dial := n.Dial
		n.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			c, err := dial(ctx, addr)
			if err != nil || !strings.HasSuffix(addr, ":7000") {
				return c, err
			}
			return counted{c, &messages, &bytes}, nil
		}
	}
	if err := w.Start(ctx, adapters); err != nil {
		t.Fatal(err)
	}
	for i := range n {
		w.StartNode(ctx, i)
		w.pass(stagger / 10)
	}
	w.pass(quiet)
	reads, writes, tabled := w.DB.Count("")
	sent, carried := messages.Load(), bytes.Load()
	w.pass(window)
	rate := func(now, before int64) float64 { return float64(now-before) / window.Seconds() / float64(n) }
	reads2, writes2, tabled2 := w.DB.Count("")
	t.Logf("%3d nodes, each per second: %.2f table reads, %.2f table writes, %.0f bytes of the table; %.0f messages, %.0f bytes between nodes",
		n, rate(reads2, reads), rate(writes2, writes), rate(tabled2, tabled), rate(messages.Load(), sent), rate(bytes.Load(), carried))
	force := w.timeInForce(n)
	takeover := w.timeToTakeOver(n)
	t.Logf("%3d nodes: in force on all after %s, all runners of a dead node taken over after %s", n, force, takeover)
	if force > site.ForceGrace || takeover > mostTakeover {
		t.Errorf("%d nodes: got %s until in force and %s until taken over, want at most %s and %s", n, force, takeover, site.ForceGrace, mostTakeover)
	}
	cancel()
	for i := range n {
		w.Wait(i)
	}
	w.pass(time.Hour)
}

// timeInForce returns the longest of several edits, at different moments between two readings of the nodes.
func (w *world) timeInForce(n int) time.Duration {
	var worst time.Duration
	for e := range edits {
		w.pass(700 * time.Millisecond)
		begin := time.Now()
		name := site.AdapterName(100 + e)
		rev, err := w.Apply(w.ctx, site.Row("adapter", name, w.Adapter(name)))
		if err != nil {
			w.t.Fatal(err)
		}
		w.until(func() bool { return w.inForce(n, rev) })
		worst = max(worst, time.Since(begin))
	}
	return worst
}

func (w *world) inForce(n int, rev int64) bool {
	for i := range n {
		if w.Node(i).Catalog().Complete() < rev {
			return false
		}
	}
	return true
}

func (w *world) timeToTakeOver(n int) time.Duration {
	begin := time.Now()
	w.kill(n - 1)
	w.until(func() bool {
		owned := 0
		for i := range n - 1 {
			owned += len(w.Node(i).Runners())
		}
		return owned == n
	})
	return time.Since(begin)
}

// until waits for a condition in virtual time.
func (w *world) until(done func() bool) {
	for limit := time.Now().Add(patience); !done() && time.Now().Before(limit); {
		time.Sleep(look)
	}
}
