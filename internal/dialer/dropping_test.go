package dialer_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"damaskreach/internal/dialer"
)

// A host gives an order up and closes its connection. Closed in the usual way, the kernel would go on sending the order for seconds, and it might be carried out
// between those of the host that has taken the engine; a reset drops it.
func TestClosingDropsWhatWasNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() = %v, want nil", err)
	}
	defer l.Close()
	c, err := dialer.DialDropping(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatalf("DialDropping() = %v, want nil", err)
	}
	far, err := l.Accept()
	if err != nil {
		t.Fatalf("Accept() = %v, want nil", err)
	}
	defer far.Close()
	if err := c.Close(); err != nil {
		t.Errorf("Close() = %v, want nil", err)
	}
	if _, err := io.ReadAll(far); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the far end reads %v, want a reset", err)
	}
}
