// Package acks lifts the bound on how long bytes on a connection wait until the other side takes them.
//
// The kernel holds a connection for lost once bytes have waited for that long, whether the other side is gone or answers and only does not read.
package acks

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Lift lifts the bound and returns what sets it again. Connections of other kinds than the kernel's have no bound.
func Lift(c net.Conn) (restore func() error, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return func() error { return nil }, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	before := 0
	err = control(raw, func(fd int) (err error) {
		before, err = unix.GetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		if err != nil {
			return err
		}
		return set(fd, 0)
	})
	return func() error { return control(raw, func(fd int) error { return set(fd, before) }) }, err
}

func control(raw syscall.RawConn, do func(fd int) error) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = do(int(fd)) })
	return errors.Join(err, failed)
}

func set(fd, ms int) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
}
