package tenure_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

// engines returns the ids of so many engines.
func engines(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("e", i))
	}
	return ids
}

// A host starts on a site with thousands of engines and takes who orders them from another host. That one may have read long before, and an
// engine may have changed hands since: the host must not give orders by what it was told before it has read the store itself.
func TestHostThatWasToldReadsBeforeItOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, engines(600)...)
		a := s.start("10.0.0.1")
		time.Sleep(15 * time.Second)
		if got, want := len(a.Mine()), 600; got != want {
			t.Fatalf("engines of the first host = %d, want %d", got, want)
		}
		s.patience, s.teller = 3*time.Second, a
		b := s.start("10.0.0.2")
		time.Sleep(400 * time.Millisecond)
		if got, want := b.Owner("e599"), "10.0.0.1"; got != want {
			t.Errorf("owner as the second host was told = %q, want %q", got, want)
		}
		s.watch(5*time.Second, a, b)
	})
}

// The program starts again on its host, and the store's reading after its session began fails for a while. Whoever took its engines meanwhile is
// not known; an order by what was read before could cross another host's.
func TestNoOrderBeforeTheReadingBehindTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1")
		a := s.start("10.0.0.1")
		time.Sleep(6 * time.Second)
		a.cancel()
		time.Sleep(time.Second)
		again := s.started("10.0.0.1", func(h *host) {
			h.Store.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
				return nil, 0, table.ErrDown
			}
		})
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if _, ok := again.Fence("e1"); ok {
				t.Fatal("may give orders before it has read the store, want that it may not")
			}
		}
		if again.Left() <= 0 {
			t.Error("has no session, want one: the test shows nothing otherwise")
		}
	})
}

// The program starts again on its host and goes on with what it held. Whatever its predecessor gave out was given out before the start, so what
// it holds counts from there; what it claims anew counts from the claim, or it would give out what somebody else has.
func TestHeldSinceTheStartOrTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1")
		a := s.start("10.0.0.1")
		time.Sleep(6 * time.Second)
		_, since, ok := a.Counts("e1")
		if !ok || since < 500*time.Millisecond || since > 5*time.Second {
			t.Errorf("claimed: held %v since %v, want some time after the start", ok, since)
		}
		a.cancel()
		time.Sleep(time.Second)
		began := time.Since(s.begun)
		again := s.start("10.0.0.1")
		time.Sleep(2 * time.Second)
		if _, since, ok := again.Counts("e1"); !ok || since != began {
			t.Errorf("after the start: held %v since %v, want since %v", ok, since, began)
		}
		b := s.start("10.0.0.2")
		again.cancel()
		time.Sleep(20 * time.Second)
		if _, since, ok := b.Counts("e1"); !ok || since < began+12*time.Second {
			t.Errorf("taken over: held %v since %v, want since the lease of the other had ended", ok, since)
		}
	})
}
