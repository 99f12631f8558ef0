package grant_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/grant"
	"damaskreach/internal/loop"
	"damaskreach/internal/peer"
	"damaskreach/internal/policy"
	"damaskreach/internal/sess"
)

// A load fails and is tried again before the first permit has come back to the scheduler. If the second request queued
// behind the first permit it would wait for itself, and callers of that adapter would see a stall of minutes.
func TestTryingALoadAgainTakesItsPermitOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g := newGrant(ctx)
		first, err := g.Get(ctx, "store", "node", "runner", "a@v1", 0)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		second, err := g.Get(ctx, "store", "node", "runner", "a@v1", 0)
		if got := time.Since(start); err != nil || got > 0 {
			t.Errorf("second permit after %s with error %v, want it at once", got, err)
		}
		first()
		second()
		other, err := g.Get(ctx, "store", "node", "runner", "b@v1", 0)
		if got, want := time.Since(start), time.Second; err != nil || got > want {
			t.Errorf("next permit after %s with error %v, want it within %s", got, err, want)
		}
		other()
	})
}

// At three loads a second each permit comes a third of a second after the one before, not at the next tick of some clock:
// loads that wait longer than the store asks for stall callers.
func TestPermitsComeAtTheStoresRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g := newGrant(ctx)
		start := time.Now()
		for i := range 4 {
			done, err := g.Get(ctx, "store", "node", "runner", string(rune('a'+i)), 0)
			if err != nil {
				t.Fatal(err)
			}
			done()
		}
		if got, want := time.Since(start).Round(time.Millisecond), time.Second; got != want {
			t.Errorf("four permits took %s, want %s", got, want)
		}
	})
}

// Operators change a store's rate. If its scheduler went on at the rate it began with, the store would refuse loads or
// stand idle until another node orders them.
func TestChangedRateIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g := newGrant(ctx)
		rate := 3.0
		g.Rate = func(string) float64 { return rate }
		for _, c := range []struct {
			rate float64
			want time.Duration
		}{{3, time.Second}, {30, 100 * time.Millisecond}, {1, 3 * time.Second}} {
			rate = c.rate
			start := time.Now()
			for i := range 4 {
				done, err := g.Get(ctx, "store", "node", "runner", string(rune('a'+i)), 0)
				if err != nil {
					t.Fatal(err)
				}
				done()
			}
			if got := time.Since(start).Round(time.Millisecond); got != c.want {
				t.Errorf("at %v a second: four permits took %s, want %s", c.rate, got, c.want)
			}
			time.Sleep(time.Minute)
		}
	})
}

func newGrant(ctx context.Context) *grant.Grant {
	l := loop.NewLoop()
	go l.Run(ctx)
	noDial := func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
	g := &grant.Grant{
		Loop: l,
		Mesh: peer.NewMesh("node", [][]byte{[]byte("key")}, noDial, zap.NewNop()),
		Rate: func(string) float64 { return 3 }, Policy: policy.Current(),
		Home: func(context.Context, string) (sess.Session, bool, error) { return sess.Session{}, true, nil },
	}
	g.Register()
	return g
}
