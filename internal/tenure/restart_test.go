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

// engineIDs returns the ids of n engines.
func engineIDs(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprint("e", i))
	}
	return ids
}

// A host starts on a large site and lists the owners from another host, whose rows may be old: it must not send orders by them before
// it has read the store itself.
func TestHostReadsStoreBeforeOrderingByPeerRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, engineIDs(600)...)
		a := s.startHost("10.0.0.1")
		time.Sleep(15 * time.Second)
		if got, want := len(a.OwnedEngines()), 600; got != want {
			t.Fatalf("engines of the first host = %d, want %d", got, want)
		}
		s.peerTimeout, s.rowsPeer = 3*time.Second, a
		b := s.startHost("10.0.0.2")
		time.Sleep(400 * time.Millisecond)
		if got, want := b.Owner("e599"), "10.0.0.1"; got != want {
			t.Errorf("owner according to the second host = %q, want %q", got, want)
		}
		s.watch(5*time.Second, a, b)
	})
}

// The process restarts, and reads of the store fail after its session began. Other hosts may have taken its engines meanwhile, so orders
// by the older rows could overlap theirs.
func TestNoOrderBeforeReadAfterSessionStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1")
		a := s.startHost("10.0.0.1")
		time.Sleep(6 * time.Second)
		a.cancel()
		time.Sleep(time.Second)
		again := s.startHostWith("10.0.0.1", func(h *host) {
			h.Store.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
				return nil, 0, table.ErrDown
			}
		})
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if _, ok := again.Fence("e1"); ok {
				t.Fatal("may send orders before it has read the store, want not")
			}
		}
		if again.LeaseLeft() <= 0 {
			t.Error("has no session, want one, or the test proves nothing")
		}
	})
}

// A restarted process keeps what it held since its start, as its predecessor spent nothing after that; what it claims anew counts from
// the claim. Otherwise it would spend part of a limit that another host has spent.
func TestHeldSinceProcessStartOrClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1")
		a := s.startHost("10.0.0.1")
		time.Sleep(6 * time.Second)
		_, since, ok := a.LimitFence("e1")
		if !ok || since < 500*time.Millisecond || since > 5*time.Second {
			t.Errorf("claimed: held %v since %v, want some time after the start", ok, since)
		}
		a.cancel()
		time.Sleep(time.Second)
		began := time.Since(s.begun)
		again := s.startHost("10.0.0.1")
		time.Sleep(2 * time.Second)
		if _, since, ok := again.LimitFence("e1"); !ok || since != began {
			t.Errorf("after the start: held %v since %v, want since %v", ok, since, began)
		}
		b := s.startHost("10.0.0.2")
		again.cancel()
		time.Sleep(20 * time.Second)
		if _, since, ok := b.LimitFence("e1"); !ok || since < began+12*time.Second {
			t.Errorf("taken over: held %v since %v, want since the lease of the other had ended", ok, since)
		}
	})
}
