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

// A load is retried before its first permit is released. If the second request queued behind the first permit, it would wait
// for itself, and callers of that adapter would stall for minutes.
func TestRetriedLoadTakesOverItsPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g := newGrant(ctx)
		first, err := g.Acquire(ctx, "store", "node", "runner", "a@v1", 0)
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		second, err := g.Acquire(ctx, "store", "node", "runner", "a@v1", 0)
		if got := time.Since(start); err != nil || got > 0 {
			t.Errorf("second permit after %s with error %v, want it at once", got, err)
		}
		first()
		second()
		other, err := g.Acquire(ctx, "store", "node", "runner", "b@v1", 0)
		if got, want := time.Since(start), time.Second; err != nil || got > want {
			t.Errorf("next permit after %s with error %v, want it within %s", got, err, want)
		}
		other()
	})
}

// At three loads a second, permits must come a third of a second apart, not at the next tick of a timer: longer waits than
// the store needs would stall callers.
func TestPermitsFollowTheStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		g := newGrant(ctx)
		start := time.Now()
		for i := range 4 {
			done, err := g.Acquire(ctx, "store", "node", "runner", string(rune('a'+i)), 0)
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

// Operators change a store's rate. At the old rate, the store would refuse loads or stay idle.
func TestRateChangeTakesEffect(t *testing.T) {
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
				done, err := g.Acquire(ctx, "store", "node", "runner", string(rune('a'+i)), 0)
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
