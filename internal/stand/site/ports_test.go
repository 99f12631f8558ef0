//go:build !race

package site_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"damaskreach/internal/node"
)

const slowClose = time.Millisecond // that closing a port takes

// port tells when it has been closed, which takes a moment.
type port struct {
	net.Listener

	open *atomic.Int64
}

// Close closes the port once; net/http does it again.
func (p *port) Close() error {
	<-time.After(slowClose)
	err := p.Listener.Close()
	if err == nil {
		p.open.Add(-1)
	}
	return err
}

// A node is replaced at its address. A process that begins before the one before it has closed its ports cannot open
// them and ends at once, so that callers who ask this host are turned away.
func TestNodeThatEndedHasClosedItsPorts(t *testing.T) {
	both(t, 2, 2, func(w *world, _ bool) {
		var open atomic.Int64
		w.Prepare = func(n *node.Node) {
			listen := n.Listen
			n.Listen = func(addr string) (net.Listener, error) {
				l, err := listen(addr)
				if err != nil {
					return nil, err
				}
				open.Add(1)
				return &port{Listener: l, open: &open}, nil
			}
		}
		w.drain(1)
		w.start(1)
		w.pass(quiet)
		if got, want := open.Load(), int64(3); got != want {
			w.t.Errorf("got %d open ports of the node that runs, want %d", got, want)
		}
		w.drain(1)
		if got, want := open.Load(), int64(0); got != want {
			w.t.Errorf("got %d open ports as the node ended, want %d", got, want)
		}
		w.start(1)
		w.use(1, true)
		w.pass(quiet)
		w.serves("after it was replaced", 0, 1)
	})
}
