// Package acks tells whether bytes on a connection wait until the other side takes them, and lifts the bound on how long they do.
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

// Pending reports whether bytes that were written have not been taken by the other side, which is still there. Of connections of other kinds than the
// kernel's it knows nothing and reports false.
func Pending(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = control(raw, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		pending = err == nil && info.State != unix.BPF_TCP_CLOSE && (info.Unacked > 0 || info.Notsent_bytes > 0)
		return err
	})
	return err == nil && pending
}

func control(raw syscall.RawConn, do func(fd int) error) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = do(int(fd)) })
	return errors.Join(err, failed)
}

func set(fd, ms int) error {
	return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
}
