package peek_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"damaskreach/internal/peek"
)

// patience bounds the waits for what the kernel passes on.
const patience = 10 * time.Second

// connect returns both ends of a connection of the kernel's.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen = %v, want nil", err)
	}
	defer l.Close()
	far, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatalf("Dial = %v, want nil", err)
	}
	near, err = l.Accept()
	if err != nil {
		t.Fatalf("Accept = %v, want nil", err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// raw returns what lies below a connection, whose waits are bounded from now on.
func raw(t *testing.T, c net.Conn) syscall.RawConn {
	t.Helper()
	below, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatalf("SyscallConn = %v, want nil", err)
	}
	if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
		t.Fatalf("SetReadDeadline = %v, want nil", err)
	}
	return below
}

// await returns the first answer other than that nothing was received.
func await(t *testing.T, c net.Conn) (n int, err error) {
	t.Helper()
	waited := raw(t, c).Read(func(uintptr) bool {
		n, err = peek.Peek(c)
		return n != 0 || err != nil
	})
	if waited != nil {
		t.Fatalf("Peek = 0, nil for %v, want another answer: %v", patience, waited)
	}
	return n, err
}

// Bytes lie on a connection. Taken off by the look, they would be missing from the request that they begin.
func TestBytesAreSeenAndStay(t *testing.T) {
	near, far := connect(t)
	if _, err := io.WriteString(far, "GET"); err != nil {
		t.Fatalf("sending: %v", err)
	}
	if n, err := await(t, near); n != 1 || err != nil {
		t.Errorf("Peek = %d, %v, want 1, nil", n, err)
	}
	got := make([]byte, 3)
	if _, err := io.ReadFull(near, got); err != nil || string(got) != "GET" {
		t.Errorf("Read = %q, %v, want %q", got, err, "GET")
	}
	if n, err := peek.Peek(near); n != 0 || err != nil {
		t.Errorf("Peek = %d, %v once all was read, want 0, nil", n, err)
	}
}

// The far end has closed a connection. Taken for an open one, it would get a request that is lost.
func TestEndIsSeen(t *testing.T) {
	near, far := connect(t)
	if err := far.Close(); err != nil {
		t.Fatalf("Close = %v, want nil", err)
	}
	if n, err := await(t, near); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("Peek = %d, %v, want 0, EOF", n, err)
	}
}

// A connection was closed here. Taken for an open one, it would get a request that cannot be sent.
func TestClosedConnectionIsAnError(t *testing.T) {
	near, _ := connect(t)
	if err := near.Close(); err != nil {
		t.Fatalf("Close = %v, want nil", err)
	}
	if n, err := peek.Peek(near); n != 0 || err == nil {
		t.Errorf("Peek = %d, %v, want 0 and an error", n, err)
	}
}

// A server's goroutine reads from an idle connection all the time. A look that waited for it would stand still until the next request.
func TestLookDoesNotWaitForAReader(t *testing.T) {
	near, _ := connect(t)
	below, reading, read := raw(t, near), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(read)
		begin := sync.OnceFunc(func() { close(reading) })
		_ = below.Read(func(uintptr) bool {
			begin()
			return false
		})
	}()
	<-reading // it keeps others from reading until something comes
	if n, err := peek.Peek(near); n != 0 || err != nil {
		t.Errorf("Peek = %d, %v, want 0, nil", n, err)
	}
	near.Close()
	<-read
}

// A connection that is not the kernel's cannot be looked at. Taken for empty or for closed, it would hide that nothing is known.
func TestOtherConnectionsAreUnsupported(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	if n, err := peek.Peek(near); n != 0 || !errors.Is(err, errors.ErrUnsupported) {
		t.Errorf("Peek = %d, %v, want 0, %v", n, err, errors.ErrUnsupported)
	}
}
