package peer

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

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
	err      error         // why the last dial failed or the connection ended; nil while connected
	used     time.Time     // when it was last asked for
}

// get returns the connection to node id, dialling if there is none.
//
// When another node answers than the expected one, either the caller knows an old owner of the address or the
// connection is left over from one. A second dial tells which. The connection that is there is not closed for it:
// requests of callers with newer knowledge may be running on it.
func (l *link) get(ctx context.Context, id string) (*wire.Conn, error) {
	c, err := l.await(ctx, false)
	if err != nil || reaches(c, id) {
		return c, err
	}
	c, err = l.await(ctx, true)
	if err != nil || reaches(c, id) {
		return c, err
	}
	return nil, merry.Appendf(ErrReplaced, "%s in place of %s", c.Peer().ID, id)
}

// reaches reports whether a connection leads to the node it is wanted for.
func reaches(c *wire.Conn, id string) bool {
	return id == anyNode || c.Peer().ID == id
}

// await returns the connection when there is one; with stale set, after one more dial if that is due.
func (l *link) await(ctx context.Context, stale bool) (*wire.Conn, error) {
	for {
		c, wait, err := l.look(stale)
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-wait:
			stale = false
			if err := l.lastError(); err != nil {
				return nil, err
			}
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// lastError returns why there is no connection after a dial, or nil.
func (l *link) lastError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// look returns the connection, or what to wait for, or why there is neither.
// With stale set it dials although there is a connection, if a dial is due, and returns that connection if not.
func (l *link) look(stale bool) (*wire.Conn, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.used = now
	usable := l.conn != nil && l.conn.Usable()
	waiting := now.Before(l.due)
	switch {
	case usable && !stale:
		return l.conn, nil, nil
	case l.dialing != nil:
		return nil, l.dialing, nil
	case usable && waiting:
		return l.conn, nil, nil
	case waiting:
		return nil, nil, merry.Wrap(ErrBackoff, merry.WithCause(l.err))
	}
	if !l.mesh.begin(l.dial) {
		return nil, nil, wire.ErrClosed
	}
	l.dialing = make(chan struct{})
	return nil, l.dialing, nil
}
