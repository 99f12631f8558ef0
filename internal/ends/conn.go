// Package ends tells the reader of a connection how it ended.
//
// The kernel tells a connection's error once, to whichever of those who read and write comes first. Where the writer is told of a reset, the reader sees an
// end like that of a connection whose far end has sent all it had, and takes a part of an answer without a length for the whole.
package ends

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose reader learns of the errors that its writers were told. It may be read by one goroutine while others write.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	writing sync.Cond
	writers int   // calls of Write that have not returned
	broke   error // the first error of the connection that a writer was told
}

// NewConn returns a connection's Conn.
func NewConn(c net.Conn) *Conn {
	e := &Conn{Conn: c}
	e.writing.L = &e.mu
	return e
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
	if c.broke == nil && isBreak(err) {
		c.broke = err
	}
	c.writing.Broadcast()
	return n, err
}

// isBreak reports whether an error of writing says that the connection broke. EPIPE does not: the far end had ended its side before.
func isBreak(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code) && code != syscall.EPIPE
}

// Read reads from the connection. It returns io.EOF only if the far end has ended its side.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.end()
	}
	return n, err
}

// end returns why nothing more comes. A write that goes on while the connection is dead is about to be told, or was and has not noted it yet.
func (c *Conn) end() error {
	dead := c.dead()
	c.mu.Lock()
	defer c.mu.Unlock()
	for dead && c.writers > 0 && c.broke == nil {
		c.writing.Wait()
	}
	if c.broke != nil {
		return merry.Prepend(c.broke, "broken off, as a write was told")
	}
	return io.EOF
}

// dead reports whether the kernel has closed the connection in both directions.
func (c *Conn) dead() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && closed
}

// SyscallConn returns the kernel's connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	kernel, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return kernel.SyscallConn()
}
