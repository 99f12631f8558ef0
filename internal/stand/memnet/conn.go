package memnet

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// conn is one end of a connection.
type conn struct {
	net       *Net
	local     *net.TCPAddr
	remote    *net.TCPAddr
	in, out   *pipe
	closed    bool
	readStop  deadline
	writeStop deadline
}

// deadline wakes the waiting calls of a connection when it passes.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

func (d *deadline) passed() bool {
	return !d.at.IsZero() && time.Until(d.at) <= 0
}

// set moves the deadline; the caller wakes those that wait already. A deadline that has passed needs no timer, and must not
// have one: a goroutine of a synctest bubble runs a timer that is due already itself, with the race context that the bubble's
// other timers use at the same time, and the race detector crashes the process.
func (d *deadline) set(at time.Time, wake func()) {
	if d.timer != nil {
		d.timer.Stop()
	}
	d.at = at
	if !at.IsZero() && !d.passed() {
		d.timer = time.AfterFunc(time.Until(at), wake)
	}
}

func (c *conn) host() string {
	return c.local.IP.String()
}

// Read returns bytes that have arrived, waiting for the first.
func (c *conn) Read(b []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for {
		n, done, err := c.tryRead(b)
		if done && err != nil && !errors.Is(err, io.EOF) {
			return n, c.failed("read", err)
		}
		if done {
			return n, err
		}
		c.in.cond.Wait()
	}
}

func (c *conn) tryRead(b []byte) (n int, done bool, err error) {
	if c.closed {
		return 0, true, net.ErrClosed
	}
	if c.net.frozen[c.host()] {
		return 0, false, nil
	}
	if c.readStop.passed() {
		return 0, true, os.ErrDeadlineExceeded
	}
	if len(b) == 0 {
		return 0, true, nil
	}
	return c.in.take(b)
}

// Write returns when all of b is buffered, which may be before any of it arrives.
func (c *conn) Write(b []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	written := 0
	for {
		n, done, err := c.tryWrite(b[written:])
		written += n
		if err != nil {
			return written, c.failed("write", err)
		}
		if done {
			return written, nil
		}
		c.out.cond.Wait()
	}
}

func (c *conn) tryWrite(b []byte) (n int, done bool, err error) {
	if c.closed {
		return 0, true, net.ErrClosed
	}
	if c.net.frozen[c.host()] {
		return 0, false, nil
	}
	if c.writeStop.passed() {
		return 0, true, os.ErrDeadlineExceeded
	}
	if c.in.ended() {
		return 0, true, syscall.EPIPE
	}
	n = c.out.put(b)
	return n, n == len(b), nil
}

func (c *conn) failed(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Close ends the connection; the peer reads what is under way and then io.EOF.
func (c *conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closed {
		return c.failed("close", net.ErrClosed)
	}
	c.shut(io.EOF)
	return nil
}

// LocalAddr returns this end's address.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the other end's address.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.readStop.set(t, c.in.signal)
	c.writeStop.set(t, c.out.signal)
	c.in.cond.Broadcast()
	return nil
}

// SetReadDeadline sets when reads give up.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.readStop.set(t, c.in.signal)
	c.in.cond.Broadcast()
	return nil
}

// SetWriteDeadline sets when writes give up.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.writeStop.set(t, c.out.signal)
	c.out.cond.Broadcast()
	return nil
}
