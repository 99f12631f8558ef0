package conns

import (
	"bytes"
	"errors"
	"io"
	"time"

	"damaskreach/internal/acks"
)

// startFor is how long a caller that has sent the first bytes of a request may take until the server sets a time of its own: it does so once it
// has some more of them.
const startFor = 10 * time.Second

const (
	// lingerFor is how long a caller that has sent more than was read may take for the end of its answer, and lingerLook the pause between two looks.
	lingerFor  = 5 * time.Second
	lingerLook = 10 * time.Millisecond
)

// fieldCost is what a decoded field of a head takes beside its text, in bytes, copies of the head included.
const fieldCost = 256

// errNoRoom means that callers hold too many bytes together.
var errNoRoom = errors.New("conns: no room for the head of a request")

// errNoHalf means that the connection cannot be closed in one direction.
var errNoHalf = errors.New("conns: the connection has no half to close")

// past is a read deadline that has passed.
var past = time.Unix(1, 0)

// Read reads from the connection. Bytes that arrive make it busy, also where it was about to be closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.part.Received(n)
	ended := errors.Is(err, io.EOF)
	if n == 0 && !ended {
		return n, err
	}
	if inHead := c.received(n, ended); inHead && !c.part.Take(headCost(p[:n])) {
		return 0, errNoRoom
	}
	return n, err
}

// received notes that bytes came or that the caller sends no more, and reports whether they belong to the head of a request.
func (c *conn) received(n int, ended bool) (inHead bool) {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if n > 0 {
		c.start()
	}
	c.whole = ended
	return !c.entered
}

// headCost returns what some bytes of a head take in memory once they are decoded. Short fields take many times their length.
func headCost(text []byte) int64 {
	return int64(2*len(text) + fieldCost*bytes.Count(text, []byte{'\n'}))
}

// SetReadDeadline sets when reads give up; while the connection is about to be closed, that is at once. Behind an answer the server sets one only once
// it has the first bytes of the next request, which it may have read beside the answer.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	c.until = t
	if c.answered && !t.IsZero() {
		c.take()
	}
	if c.closing || c.dropped {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and ends following it. Where the caller has sent more than was read, it takes the end of its answer first.
func (c *conn) Close() error {
	if !c.readWhole() && arrived(c.Conn) {
		c.linger()
	}
	c.all.mu.Lock()
	c.closed = true
	delete(c.all.all, c)
	c.all.mu.Unlock()
	c.part.Close()
	return c.Conn.Close()
}

// readWhole reports whether all was read that the caller has sent and will send. The kernel need not be asked then, as on most connections: callers
// close them.
func (c *conn) readWhole() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return c.whole
}

// linger tells the caller that nothing more comes, and waits until it has taken all. What it has sent stays unread: it must be able to tell that a
// request was not taken.
func (c *conn) linger() {
	if !acks.Pending(c.Conn) || c.CloseWrite() != nil {
		return
	}
	for until := time.Now().Add(lingerFor); acks.Pending(c.Conn) && time.Now().Before(until); {
		time.Sleep(lingerLook)
	}
}

// CloseWrite tells the caller that nothing more comes. Closed in both directions at once, a connection on which the caller has sent something
// that was not read is reset, and the end of the answer with it.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNoHalf
	}
	return half.CloseWrite()
}

// start takes bytes that were read. Where they are the first of a request, the rest must follow in time: the server waits for it without a bound,
// and an empty line behind a request would keep the connection open for ever. It needs the lock.
func (c *conn) start() {
	if !c.busy && c.until.IsZero() {
		c.until = time.Now().Add(startFor)
		c.setDeadline(c.until)
	}
	c.take()
}

// drop has nothing more read from the connection. An idle one goes on with a request whose bytes come first.
func (c *conn) drop() {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	switch {
	case !c.part.Dropped():
		return // a request has begun meanwhile
	case c.busy:
		c.dropped = true
	default:
		c.closing = true
	}
	c.stopReading()
}

// take marks the connection as busy. It needs the lock.
func (c *conn) take() {
	if !c.busy {
		c.part.Begin()
	}
	c.busy, c.answered = true, false
	if !c.closing || c.dropped {
		return
	}
	c.closing = false
	c.setDeadline(c.until)
}

// stopReading has reads give up at once. It needs the lock.
func (c *conn) stopReading() {
	c.setDeadline(past)
}

// setDeadline sets the deadline of the connection itself. A connection that takes none is closed already.
func (c *conn) setDeadline(t time.Time) {
	_ = c.Conn.SetReadDeadline(t)
}
