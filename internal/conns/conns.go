// Package conns follows callers' connections, so that idle ones can be closed without losing a request.
//
// net/http closes idle connections by their state, which changes only after a request was read. A request that arrives at
// that moment is handled and sent to an upstream, and its answer has nowhere to go: the caller sees a closed connection
// for a request that ran. Here a connection is either taken by a request or closed, whichever comes first.
package conns

import (
	"context"
	"net"
	"sync"
	"time"
)

type key struct{}

// Conns may be used from several goroutines. The zero value follows no connection.
type Conns struct {
	mu  sync.Mutex
	all map[net.Conn]*conn
}

type conn struct {
	busy   bool
	closed bool
	since  time.Time // when it last became idle
}

// Context is the ConnContext of an http.Server: it begins to follow a connection.
func (c *Conns) Context(ctx context.Context, raw net.Conn) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[net.Conn]*conn{}
	}
	known := &conn{since: time.Now()}
	c.all[raw] = known
	return context.WithValue(ctx, key{}, known)
}

// Gone stops following a connection that was closed.
func (c *Conns) Gone(raw net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, raw)
}

// Enter takes the connection of a request's context for the request, until leave is called. It reports false where the
// connection was closed already: the request must not be passed on then.
func (c *Conns) Enter(ctx context.Context) (leave func(), ok bool) {
	known, followed := ctx.Value(key{}).(*conn)
	if !followed {
		return func() {}, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known.closed {
		return nil, false
	}
	known.busy = true
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		known.busy = false
		known.since = time.Now()
	}, true
}

// CloseIdle closes the connections that have been idle for so long, and returns how many are left.
func (c *Conns) CloseIdle(idle time.Duration) int {
	c.mu.Lock()
	var old []net.Conn
	for raw, known := range c.all {
		if !known.busy && !known.closed && time.Since(known.since) >= idle {
			known.closed = true
			old = append(old, raw)
		}
	}
	left := len(c.all) - len(old)
	c.mu.Unlock()
	for _, raw := range old {
		raw.Close()
	}
	return left
}
