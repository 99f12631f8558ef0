// Package conns follows callers' connections, so that idle ones can be closed without losing a request or an answer.
//
// net/http tells of a connection's state only after it has read a whole head and after it has written a whole answer. Closed by what it tells,
// a connection may have a request on it that was read in part, or an answer that a slow caller has not taken yet: the caller sees a
// closed connection for a request that ran. Here the goroutine that serves a connection ends it: closing only has its next wait for a request
// fail, and bytes that arrive first are a request that is served.
package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"damaskreach/internal/peek"
	"damaskreach/internal/room"
	"damaskreach/internal/unread"
)

// endingShare is the part of Most that may be open beyond it while as many are ending: one in so many.
const endingShare = 8

type key struct{}

// Conns may be used from several goroutines. The zero value follows no connection.
type Conns struct {
	// Room is what all connections together may hold of requests; nil bounds nothing. It is set before the first connection, like the fields below.
	Room *room.Room
	// Most is how many connections may be open; 0 means any number. It needs a Room.
	Most int
	// Refused is called for each connection that finds no place; it may be nil.
	Refused func()

	mu  sync.Mutex
	all map[*conn]bool
}

// conn is a caller's connection.
type conn struct {
	net.Conn
	all  *Conns
	part *room.Room // of all.Room

	// Under the lock of all:
	busy     bool      // a request is being read, handled or answered
	entered  bool      // the head of that request is whole
	answered bool      // its last request was answered, and no byte of the next one seen
	closing  bool      // nothing more is read from it, unless bytes came first
	closed   bool      // by either side
	dropped  bool      // nothing more is read from it: its caller stopped short of the end of a request, and others needed its room
	whole    bool      // the caller sends nothing more, and all that it has sent was read
	since    time.Time // when it last became idle
	until    time.Time // read deadline that the server has set
}

// Follow returns a listener whose connections are followed from when they are accepted.
func (c *Conns) Follow(l net.Listener) net.Listener {
	return &listener{Listener: l, all: c, accepting: make(chan struct{}, 1)}
}

type listener struct {
	net.Listener
	all       *Conns
	accepting chan struct{} // holds a value while a call of Accept is under way
}

// Accept waits for a connection, which is followed until it is closed. One that finds no place is closed at once: its caller can tell that nothing was read,
// and try another host.
func (l *listener) Accept() (net.Conn, error) {
	l.accepting <- struct{}{}
	defer func() { <-l.accepting }()
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.all.hasPlace() {
			return l.all.add(raw), nil
		}
		if l.all.Refused != nil {
			l.all.Refused()
		}
		raw.Close()
	}
}

// hasPlace reports whether one more connection may be open. Where there are Most, one is dropped in its favour that has no whole request; it may take a moment to
// end, so some more may be open meanwhile. One that is dropped as its first bytes come may stay, so some are dropped for those that come later even where too many are
// open already.
func (c *Conns) hasPlace() bool {
	open := c.Open()
	if c.Most == 0 || open < c.Most {
		return true
	}
	fits := open < c.Most+c.Most/endingShare+1
	if !fits && open-c.ending() < c.Most {
		return false
	}
	return c.Room.DropOne(c) && fits
}

// ending returns how many connections are about to be closed.
func (c *Conns) ending() (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for known := range c.all {
		if known.closing || known.dropped {
			count++
		}
	}
	return count
}

// Close ends accepting. A connection that was accepted at that moment is followed once Close returns: not counted, it would end with the process
// and its request get no answer.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.accepting <- struct{}{}
	<-l.accepting
	return err
}

// NarrowUnread is how many bytes of a connection may wait to be read; the kernel keeps up to twice as many.
const NarrowUnread = 16 << 10

// wideUnread is how many bytes may wait of a connection on which long bodies come.
const wideUnread = 64 << 10

// Widen lets more bytes wait on the connection of a request's context until it is closed, where there is room for them: otherwise a caller that is far away could send
// a long body only a few bytes at a time. They are not bounded more narrowly again: the kernel would drop what the caller was allowed to send, and the caller send
// its next body slowly.
func (c *Conns) Widen(ctx context.Context) error {
	known, followed := ctx.Value(key{}).(*conn)
	if !followed || !known.part.Keep(2*wideUnread) {
		return nil
	}
	return unread.Limit(known.Conn, wideUnread)
}

// Open returns how many connections are open, those that are ending included.
func (c *Conns) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.all)
}

func (c *Conns) add(raw net.Conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = map[*conn]bool{}
	}
	known := &conn{Conn: raw, all: c, since: time.Now()}
	known.part = c.Room.Part(c, known.drop)
	c.all[known] = true
	return known
}

// Context is the ConnContext of an http.Server: it lets requests know their connections.
func (c *Conns) Context(ctx context.Context, raw net.Conn) context.Context {
	return context.WithValue(ctx, key{}, raw)
}

// State is the ConnState of an http.Server without an IdleTimeout: a connection is idle once its answer was written whole.
func (c *Conns) State(raw net.Conn, state http.ConnState) {
	known, ok := raw.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known.busy, known.answered, known.entered = false, true, false
	known.since = time.Now()
	known.part.Wait()
}

// Part returns what the connection of a request's context holds of the room, nil for a connection that is not followed.
func (c *Conns) Part(ctx context.Context) *room.Room {
	if known, followed := ctx.Value(key{}).(*conn); followed {
		return known.part
	}
	return nil
}

// Enter takes the connection of a request's context for the request. It reports false where the connection was closed already: the request must
// not be passed on then.
func (c *Conns) Enter(ctx context.Context) (ok bool) {
	known, followed := ctx.Value(key{}).(*conn)
	if !followed {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known.take()
	known.entered = true
	return !known.closed
}

// CloseIdle has the connections closed that have been idle for so long and on which nothing waits to be read, and returns how many are left, those
// that are being closed included.
func (c *Conns) CloseIdle(idle time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for known := range c.all {
		if !known.busy && !known.closing && time.Since(known.since) >= idle && !arrived(known.Conn) {
			known.closing = true
			known.stopReading()
		}
	}
	return len(c.all)
}

// arrived reports whether bytes wait on a connection that were not read yet. Connections of other kinds than the kernel's are taken to have none.
func arrived(c net.Conn) bool {
	n, _ := peek.Peek(c)
	return n > 0
}
