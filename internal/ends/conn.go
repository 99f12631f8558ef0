// Package ends tells the reader of a connection how it ended.
//
// The kernel tells a connection's error once, to whichever of those who read and write comes first. Where the writer is told of a reset, the reader sees an
// end like that of a connection whose far end has sent all it had, and takes a part of an answer without a length for the whole. A far end that closes with bytes
// unread is no better: whether its kernel resets at once, or ends and resets behind that, depends on when these bytes came.
package ends

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"damaskreach/internal/acks"
)

// minPause and maxPause bound the time between two looks at whether the far end takes what was written.
const minPause, maxPause = time.Millisecond, 20 * time.Millisecond

// Conn is a TCP connection that ends for its reader only once the far end has taken all that was written. It may be read by one goroutine while others write.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	writers int   // calls of Write that have not returned
	broke   error // the first error of the connection that a writer was told
}

// NewConn returns a connection's Conn.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial opens a TCP connection with a dialer and returns its Conn.
func Dial(ctx context.Context, d *net.Dialer, addr string) (net.Conn, error) {
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writers++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writers--
	var code syscall.Errno
	if c.broke == nil && errors.As(err, &code) {
		c.broke = err
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the far end has ended its side and taken all that was written, for which it waits: it may read late.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.end()
	}
	return n, err
}

// end waits until it is known why nothing more comes.
func (c *Conn) end() error {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		c.mu.Lock()
		writers, broke := c.writers, c.broke
		c.mu.Unlock()
		waiting := acks.Pending(c)
		failed := c.failure() // asked last: what breaks the connection ends the waiting
		switch {
		case broke != nil:
			return merry.Prepend(broke, "broken off, as a write was told")
		case failed != nil:
			return merry.Prepend(failed, "broken off behind its end")
		case writers == 0 && !waiting:
			return io.EOF
		}
		time.Sleep(pause)
	}
}

// failure returns the connection's error that nobody was told yet.
func (c *Conn) failure() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		var code int
		code, failed = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		if failed == nil && code != 0 {
			failed = syscall.Errno(code)
		}
	})
	return errors.Join(err, failed)
}

// SyscallConn returns the kernel's connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	kernel, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return kernel.SyscallConn()
}
