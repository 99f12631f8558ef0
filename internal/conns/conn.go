package conns

import "time"

// startFor is how long a caller that has sent the first bytes of a request may take until the server sets a time of its own: it does so once it
// has some more of them.
const startFor = 10 * time.Second

// past is a read deadline that has passed.
var past = time.Unix(1, 0)

// Read reads from the connection. Bytes that arrive make it busy, also where it was about to be closed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.all.mu.Lock()
		defer c.all.mu.Unlock()
		c.start()
	}
	return n, err
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
	if c.closing {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection and ends following it.
func (c *conn) Close() error {
	c.all.mu.Lock()
	c.closed = true
	delete(c.all.all, c)
	c.all.mu.Unlock()
	return c.Conn.Close()
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

// take marks the connection as busy. It needs the lock.
func (c *conn) take() {
	c.busy, c.answered = true, false
	if !c.closing {
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
