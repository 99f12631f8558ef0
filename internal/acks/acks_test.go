package acks_test

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"damaskreach/internal/acks"
)

// bound is the bound of the connections of these tests, in milliseconds.
const bound = 700

// option gets the bound of a connection of the kernel's.
func option(t *testing.T, c net.Conn) (ms int) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatalf("SyscallConn() = %v, want nil", err)
	}
	err = raw.Control(func(fd uintptr) {
		if ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err != nil {
			t.Fatalf("reading the bound: %v", err)
		}
	})
	if err != nil {
		t.Fatalf("Control() = %v, want nil", err)
	}
	return ms
}

// A connection is used again after a long body: without its bound, the next request on it would wait for minutes for an upstream that is gone.
func TestBoundThatWasLiftedIsSetAgain(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() = %v, want nil", err)
	}
	defer l.Close()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			if err := unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, bound); err != nil {
				t.Errorf("setting the bound: %v", err)
			}
		})
	}}
	c, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatalf("DialContext() = %v, want nil", err)
	}
	defer c.Close()
	restore, err := acks.Lift(c)
	if err != nil {
		t.Fatalf("Lift() = %v, want nil", err)
	}
	if got, want := option(t, c), 0; got != want {
		t.Errorf("lifted bound = %d ms, want %d", got, want)
	}
	if err := restore(); err != nil {
		t.Errorf("restore() = %v, want nil", err)
	}
	if got, want := option(t, c), bound; got != want {
		t.Errorf("bound set again = %d ms, want %d", got, want)
	}
}

// A connection of another kind, as tests have, takes no such setting: the request on it must not fail for that.
func TestConnectionWithoutABoundIsLeftAsItIs(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	restore, err := acks.Lift(near)
	if err != nil {
		t.Fatalf("Lift() = %v, want nil", err)
	}
	if err := restore(); err != nil {
		t.Errorf("restore() = %v, want nil", err)
	}
}
