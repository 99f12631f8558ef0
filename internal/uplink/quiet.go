package uplink

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// quiet reports whether an idle connection is open and holds no bytes. Bytes on it answer nothing that was asked: given
// to the next request they would reach the wrong caller. Connections of other kinds than the kernel's are taken for
// quiet; their answers are still matched by id.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}
