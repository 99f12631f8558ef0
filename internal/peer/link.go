package peer

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/wire"
)

var (
	// ErrBackoff means that a dial failed a moment ago and the next one is not due.
	ErrBackoff = merry.Sentinel("peer: waiting before the next dial")
	// ErrReplaced means that another node than the expected one has the address.
	ErrReplaced = merry.Sentinel("peer: another node has this address")
)

// link is what a mesh knows of one address.
type link struct {
	mesh *Mesh
	addr string

	mu       sync.Mutex
	conn     *wire.Conn
	dialing  chan struct{} // closed when the dial under way has ended; nil while there is none
	failures int           // dials that failed in a row
	due      time.Time     // when the next dial may start
	err      error         // why the last dial or connection ended; nil while connected
}

// link returns the link of an address.
func (m *Mesh) link(addr string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.links[addr]
	if !ok {
		l = &link{mesh: m, addr: addr}
		m.links[addr] = l
	}
	return l
}

// get returns the connection, dialling if there is none.
func (l *link) get(ctx context.Context, id string) (*wire.Conn, error) {
	for {
		c, wait, err := l.look()
		if err != nil {
			return nil, err
		}
		if c != nil {
			return c, l.expect(c, id)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// expect checks that a connection leads to the node it is wanted for.
func (l *link) expect(c *wire.Conn, id string) error {
	if id == anyone || c.Peer().ID == id {
		return nil
	}
	return merry.Appendf(ErrReplaced, "%s in place of %s", c.Peer().ID, id)
}

// look returns the connection, or what to wait for, or why there is neither.
func (l *link) look() (*wire.Conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.mesh.ctx.Err() != nil:
		return nil, nil, wire.ErrClosed
	case l.conn != nil && l.conn.Err() == nil:
		return l.conn, nil, nil
	case l.dialing != nil:
		return nil, l.dialing, nil
	case time.Now().Before(l.due):
		return nil, nil, merry.Appendf(ErrBackoff, "%v", l.err)
	}
	l.dialing = make(chan struct{})
	l.mesh.work.Go(l.dial)
	return nil, l.dialing, nil
}

// dial makes a connection in the mesh's own context, so that the first caller's going away does not fail the others.
func (l *link) dial() {
	c, err := l.connect()
	l.mu.Lock()
	l.conn = c
	l.err = err
	if err != nil {
		l.failures++
		l.due = time.Now().Add(backoff(l.mesh.bounds, l.failures))
	} else {
		l.failures = 0
	}
	close(l.dialing)
	l.dialing = nil
	l.mu.Unlock()
	if err != nil {
		l.mesh.log.Warn("dialling a peer failed", zap.String("addr", l.addr), zap.Error(err))
		return
	}
	l.watch(c)
}

func (l *link) connect() (*wire.Conn, error) {
	m := l.mesh
	ctx, cancel := context.WithTimeout(m.ctx, m.bounds.Dial)
	defer cancel()
	nc, err := m.dial(ctx, l.addr)
	if err != nil {
		return nil, merry.Prependf(err, "dialling %s", l.addr)
	}
	return wire.Dial(m.ctx, nc, m.self.WithDest(l.addr), m.secrets, m.bounds, nil)
}

// watch notes the end of a connection.
func (l *link) watch(c *wire.Conn) {
	<-c.Done()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == c {
		l.conn = nil
		l.err = c.Err()
	}
}

// Down reports whether the last dial of addr failed or its connection was cut and none has been made since.
// It starts the next dial when that is due, so that a caller who avoids addresses that are down finds them again.
func (m *Mesh) Down(addr string) bool {
	m.mu.Lock()
	l, ok := m.links[addr]
	m.mu.Unlock()
	if !ok || !l.failed() {
		return false
	}
	// Only the start of a dial is wanted here; the answer is known.
	_, _, _ = l.look()
	return true
}

func (l *link) failed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err != nil
}
