package conns_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"damaskreach/internal/conns"
)

// A host gets no processor for a while, and its idle connections are closed before it has read the requests that came meanwhile.
func TestConnectionOnWhichARequestHasArrivedIsNotClosed(t *testing.T) {
	var c conns.Conns
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen = %v, want nil", err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatalf("Dial = %v, want nil", err)
	}
	defer far.Close()
	below, err := l.Accept()
	if err != nil {
		t.Fatalf("Accept = %v, want nil", err)
	}
	near, err := c.Follow(listener{conn: below}).Accept()
	if err != nil {
		t.Fatalf("Accept = %v, want nil", err)
	}
	defer near.Close()
	if _, err := io.WriteString(far, "GET"); err != nil {
		t.Fatalf("sending: %v", err)
	}
	awaitBytes(t, below)
	c.CloseIdle(0)
	if _, err := io.ReadFull(near, make([]byte, 3)); err != nil {
		t.Errorf("Read = %v, want what had arrived", err)
	}
}

// awaitBytes returns once bytes wait on a connection, which it leaves there.
func awaitBytes(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatalf("SyscallConn = %v, want nil", err)
	}
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN
	})
	if err != nil {
		t.Fatalf("waiting for bytes: %v", err)
	}
}
