package memnet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stand/memnet"
)

// A host's address moves to another host while a connection to it is open. New connections must reach the new host,
// and the open one the old.
func TestDetachedListenerKeepsItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		a, b := connect(t, n)
		n.Detach(addrB)
		l, err := n.Listen(addrB)
		if err != nil {
			t.Fatalf("Listen at a detached address = %v, want nil", err)
		}
		defer l.Close()
		if _, err := n.Dial(hostA)(t.Context(), addrB); err != nil {
			t.Fatalf("Dial = %v, want nil", err)
		}
		if _, err := l.Accept(); err != nil {
			t.Errorf("Accept = %v, want nil", err)
		}
		send(t, a, "to the old host")
		expect(t, b, "to the old host", latency)
		if got, want := n.Ends(), 4; got != want {
			t.Errorf("Ends = %d, want %d", got, want)
		}
		a.Close()
		b.Close()
		if got, want := n.Ends(), 2; got != want {
			t.Errorf("Ends after one connection was closed = %d, want %d", got, want)
		}
	})
}

// A link is cut and the sender's kernel has no room. The write must wait; what it took of it counts.
func TestSmallBufferHoldsUpTheWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		a, b := connect(t, n)
		n.SetBuffer(1)
		n.Cut(hostA, hostB)
		a.SetWriteDeadline(time.Now().Add(time.Second))
		if got, err := a.Write([]byte("two")); got != 1 || !isTimeout(err) {
			t.Errorf("Write = %d, %v, want 1 and a timeout", got, err)
		}
		n.Heal(hostA, hostB)
		expect(t, b, "t", latency)
	})
}
