package peer

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/wire"
)

// dial makes a connection in the mesh's own context, so that the first caller's going away does not fail the others.
func (l *link) dial() {
	c, err := l.connect()
	if err != nil {
		l.mesh.log.Warn("dialling a peer failed", zap.String("addr", l.addr), zap.Error(err))
		l.failed(err)
		return
	}
	if l.connected(c) {
		l.mesh.log.Info("connected to a peer", zap.String("addr", l.addr), zap.String("peer", c.Peer().ID))
	}
	<-c.Done()
	l.ended(c)
}

func (l *link) connect() (*wire.Conn, error) {
	m := l.mesh
	ctx, cancel := context.WithTimeout(m.ctx, m.bounds.Dial)
	defer cancel()
	nc, err := m.dial(ctx, l.addr)
	if err != nil {
		return nil, merry.Prependf(err, "dialling %s", l.addr)
	}
	return wire.Dial(m.ctx, nc, m.self.WithDest(l.addr), *m.secrets.Load(), m.bounds, nil)
}

// failed notes a failed dial.
func (l *link) failed(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	l.due = time.Now().Add(backoff(l.mesh.bounds, l.failures))
	if l.conn == nil || !l.conn.Usable() {
		l.err = err
	}
	l.dialed()
}

// connected notes a connection and reports whether it is used. One to the same start of the same node as the
// connection there is already is closed again; one to another node takes the place of the earlier connection, which
// goes on until its streams are over.
func (l *link) connected(c *wire.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
	l.err = nil
	l.dialed()
	old := l.conn
	if old == nil {
		l.conn = c
		return true
	}
	if old.Usable() && old.Peer().ID == c.Peer().ID && old.Peer().Epoch == c.Peer().Epoch {
		// The caller expects a node that is not there. A pause keeps its repeats from dialling each time.
		l.due = time.Now().Add(l.mesh.bounds.Least)
		c.Retire()
		return false
	}
	l.conn = c
	old.Retire()
	return true
}

// dialed lets those go on who wait for the dial. It needs the lock.
func (l *link) dialed() {
	close(l.dialing)
	l.dialing = nil
}

// ended notes the end of a connection.
func (l *link) ended(c *wire.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != c {
		return
	}
	l.conn = nil
	l.err = c.Err()
	l.mesh.log.Info("connection to a peer ended", zap.String("addr", l.addr), zap.Error(l.err))
}
