package conns_test

import (
	"io"
	"net"
	"syscall"
	"testing"

	"damaskreach/internal/conns"
)

// asked counts how often the kernel is asked of a connection.
type asked struct {
	*net.TCPConn
	times int
}

// SyscallConn gives access to the kernel.
func (a *asked) SyscallConn() (syscall.RawConn, error) {
	a.times++
	return a.TCPConn.SyscallConn()
}

// Callers close most connections themselves: asked each time whether something was not read, the kernel would cost processor time for nothing.
func TestConnectionThatItsCallerClosedIsNotAskedFor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() = %v, want nil", err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatalf("Dial() = %v, want nil", err)
	}
	raw, err := l.Accept()
	if err != nil {
		t.Fatalf("Accept() = %v, want nil", err)
	}
	var c conns.Conns
	below := &asked{TCPConn: raw.(*net.TCPConn)}
	near, err := c.Follow(listener{conn: below}).Accept()
	if err != nil {
		t.Fatalf("Accept() = %v, want nil", err)
	}
	if _, err := io.WriteString(far, "GET"); err != nil {
		t.Fatalf("sending: %v", err)
	}
	if err := far.Close(); err != nil {
		t.Fatalf("closing: %v", err)
	}
	if got, err := io.ReadAll(near); string(got) != "GET" || err != nil {
		t.Errorf("ReadAll() = %q, %v, want %q, nil", got, err, "GET")
	}
	if err := near.Close(); err != nil {
		t.Errorf("Close() = %v, want nil", err)
	}
	if got, want := below.times, 0; got != want {
		t.Errorf("the kernel was asked %d times, want %d", got, want)
	}
	if got, want := c.CloseIdle(0), 0; got != want {
		t.Errorf("connections left = %d, want %d", got, want)
	}
}
