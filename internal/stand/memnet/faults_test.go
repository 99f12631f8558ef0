package memnet_test

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stand/memnet"
)

// A link between two hosts is cut while a connection is open. Neither end is told: what they write is held
// back, and arrives in order, all of it, once the link works again.
func TestCutHoldsBytesBackUntilHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		a, b := connect(t, n)
		n.Cut(hostA, hostB)
		send(t, a, "one")
		send(t, a, "two")
		b.SetReadDeadline(time.Now().Add(time.Hour))
		if _, err := b.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("Read over a cut link = %v, want a timeout", err)
		}
		b.SetReadDeadline(time.Time{})
		n.Heal(hostA, hostB)
		expect(t, b, "onetwo", latency)
	})
}

// Only one direction of a link fails. Requests arrive and take effect, but their answers do not come back.
func TestCutOneWayLeavesTheOtherDirection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		a, b := connect(t, n)
		n.CutOneWay(hostB, hostA)
		send(t, a, "request")
		expect(t, b, "request", latency)
		send(t, b, "answer")
		time.AfterFunc(time.Minute, func() { n.HealOneWay(hostB, hostA) })
		expect(t, a, "answer", time.Minute+latency)
	})
}

// A sender gives up while the link is cut and closes its connection. Nothing of it arrives later, unless
// the kernel of the sender goes on retransmitting, which linger stands for.
func TestCloseOverACutLink(t *testing.T) {
	for _, linger := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := memnet.NewNet(1)
			n.SetLinger(linger)
			a, b := connect(t, n)
			n.Cut(hostA, hostB)
			send(t, a, "late")
			a.Close()
			n.Heal(hostA, hostB)
			if !linger {
				expectError(t, b, syscall.ECONNRESET)
				return
			}
			expect(t, b, "late", latency)
			expectError(t, b, io.EOF)
		})
	}
}

// A host's process is killed. The other end reads what was under way, then a reset; new dials are refused
// until something listens there again.
func TestKillResetsTheOtherEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		a, b := connect(t, n)
		send(t, b, "last words")
		n.Kill(hostB)
		expect(t, a, "last words", latency)
		expectError(t, a, syscall.ECONNRESET)
		expectError(t, b, net.ErrClosed)
		if _, err := a.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
			t.Errorf("Write after the reset = %v, want %v", err, syscall.EPIPE)
		}
		if _, err := n.Dial(hostA)(t.Context(), addrB); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("Dial of a killed host = %v, want %v", err, syscall.ECONNREFUSED)
		}
		if l, err := n.Listen(addrB); err != nil {
			t.Errorf("Listen after a restart = %v, want nil", err)
		} else {
			l.Close()
		}
	})
}

// A connection breaks while both hosts live on. Both ends read a reset, what they sent since is lost,
// and a new connection works.
func TestBreakResetsBothEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		a, b := connect(t, n)
		n.Break(hostB, hostA)
		send(t, a, "lost")
		expectError(t, b, syscall.ECONNRESET)
		expectError(t, a, syscall.ECONNRESET)
		a.Close()
		expectError(t, b, syscall.ECONNRESET)
		if _, err := n.Dial(hostA)(t.Context(), addrB); err != nil {
			t.Errorf("Dial after the break = %v, want nil", err)
		}
	})
}

// A host is paused for an hour. It notices nothing until it goes on: its reads have not returned, its
// deadlines have not fired, and what it sent before the pause leaves only now.
func TestFreezeStopsAHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		a, b := connect(t, n)
		send(t, a, "to the frozen host")
		send(t, b, "from it")
		n.Freeze(hostB)
		b.SetReadDeadline(time.Now().Add(time.Minute))
		time.AfterFunc(time.Hour, func() { n.Thaw(hostB) })
		start := time.Now()
		_, err := b.Read(make([]byte, 1))
		if !isTimeout(err) || time.Since(start) != time.Hour {
			t.Errorf("Read of the frozen host = %v after %v, want a timeout after %v", err, time.Since(start), time.Hour)
		}
		expect(t, a, "from it", 0)
		b.SetReadDeadline(time.Time{})
		expect(t, b, "to the frozen host", 0)
	})
}

// A host is paused just after a connection came in. It is accepted, and written to, only once the host goes on.
func TestFreezeHoldsAcceptAndWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		l, err := n.Listen(addrB)
		if err != nil {
			t.Fatalf("Listen = %v, want nil", err)
		}
		defer l.Close()
		if _, err := n.Dial(hostA)(t.Context(), addrB); err != nil {
			t.Fatalf("Dial = %v, want nil", err)
		}
		start := time.Now()
		n.Freeze(hostB)
		time.AfterFunc(time.Minute, func() { n.Thaw(hostB) })
		b, err := l.Accept()
		if got := time.Since(start); err != nil || got != time.Minute {
			t.Fatalf("Accept = %v after %v, want nil after %v", err, got, time.Minute)
		}
		n.Freeze(hostB)
		time.AfterFunc(time.Minute, func() { n.Thaw(hostB) })
		send(t, b, "x")
		if got := time.Since(start); got != 2*time.Minute {
			t.Errorf("Write returned after %v, want %v", got, 2*time.Minute)
		}
	})
}

// A link becomes faster while bytes are under way. Those sent later must not overtake them.
func TestBytesStayInOrderAsLatencyFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.NewNet(1)
		a, b := connect(t, n)
		send(t, a, "one")
		n.SetLatency(hostA, hostB, 0)
		send(t, a, "two")
		expect(t, b, "onetwo", latency)
		b.Close()
		expectError(t, a, io.EOF)
	})
}
