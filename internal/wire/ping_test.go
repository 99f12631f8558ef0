package wire_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/bounds"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/tally"
)

const (
	pingSpan = 10 * time.Second
	pingStep = 200 * time.Millisecond
)

// A node has connections to hundreds of others. Pings that are answered, or sent beside requests that say the same, cost
// every node more bytes than all it is allowed for control.
func TestPingsGoOnlyWhereNothingElseDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, count := memnet.NewNet(1), tally.NewTally()
		l, err := n.Listen(hostB + ":7000")
		if err != nil {
			t.Fatal(err)
		}
		near, far := ends(t, l, count.Dial(n.Dial(hostA)))
		b := bounds.NewBounds()
		conn, _ := connect(t, near, far, b, echo)
		pings := func(what string, want int64) {
			t.Helper()
			if got, _ := count.Count(tally.Keepalive); got != want {
				t.Errorf("%s: got %d pings in %v, want %d", what, got, pingSpan, want)
			}
			count.Reset()
		}
		time.Sleep(b.Interval / 2)
		count.Reset()
		time.Sleep(pingSpan)
		pings("idle", 2*int64(pingSpan/b.Interval))
		s := open(t, conn, 0)
		recv(t, s, 0)
		count.Reset()
		for i := range int(pingSpan / pingStep) {
			if err := s.Send(t.Context(), i); err != nil {
				t.Fatal(err)
			}
			recv(t, s, i)
			time.Sleep(pingStep)
		}
		pings("busy", 0)
	})
}
