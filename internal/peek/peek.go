// Package peek looks at what a connection has received, and leaves it there.
package peek

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Peek returns, without waiting, whether a connection has received bytes that were not read yet: 1 where it has, 0 where it has none and is open,
// and io.EOF where the far end has closed it. Of a connection that is not the kernel's it knows nothing and returns errors.ErrUnsupported.
func Peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	// Control and not Read, which waits for the goroutine that reads from the connection.
	err = raw.Control(func(fd uintptr) { n, failed = receive(int(fd)) })
	return n, errors.Join(err, failed)
}

// Able reports whether Peek can tell anything of a connection. It does not look at it: the kernel tells the error of a connection once, and a reader that is not told of a
// reset takes the part of an answer that it has for the whole.
func Able(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	_, err := sc.SyscallConn()
	return err == nil
}

func receive(fd int) (n int, err error) {
	var one [1]byte
	n, _, err = unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return 0, nil
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
