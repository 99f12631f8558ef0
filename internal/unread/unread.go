// Package unread bounds how many bytes the kernel keeps of connections that the process has not read.
//
// They count as memory of the process. Left to itself, the kernel lets a connection that is read quickly keep megabytes later.
package unread

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// Limit bounds the unread bytes of a connection, or those of each connection that a listener will accept. The kernel keeps up to twice as many, its own
// records included. Listeners and connections of other kinds than the kernel's have no bound.
func Limit(of any, bytes int) error {
	sc, ok := of.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
	return errors.Join(err, failed)
}
