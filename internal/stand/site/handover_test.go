//go:build !race

package site_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stand/site"
)

const (
	longAnswer = 1500                   // tokens; more than ten seconds
	waiting    = 3                      // requests for other adapters
	justBefore = 500 * time.Millisecond // so that the successor's first, late report does not show the long answers
)

// The owner of a runner is drained while a long answer is being streamed from the runner's only slot, and requests for
// other adapters wait there for that slot. The former owner says that the adapter is in use. If the successor acted on
// "its starts are closed" before it has noted which models are in use, it would unload the adapter under the answer, and
// the caller would see it end early.
func TestHandoverUnloadsNothingInUse(t *testing.T) {
	for _, fences := range []bool{true, false} {
		t.Run(kind(fences), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := site.NewSite(1, 1)
				s.Engines[0].Slots, s.Engines[0].Fences = 1, fences
				if err := s.Start(ctx, 20); err != nil {
					t.Fatal(err)
				}
				s.StartNode(ctx, 0)
				time.Sleep(settle)
				s.StartNode(ctx, 1)
				wantWhole(ctx, t, s, 0, 2)
				time.Sleep(2 * settle)
				var all sync.WaitGroup
				all.Go(func() { wantWhole(ctx, t, s, 0, longAnswer) })
				time.Sleep(justBefore)
				for adapter := range waiting {
					all.Go(func() { comeBack(ctx, s, 1+adapter) })
				}
				s.Node(0).Drain()
				all.Wait()
				for _, b := range s.Breaches() {
					t.Errorf("got a breach: %s, want none", b)
				}
				cancel()
				s.Wait(0)
				s.Wait(1)
				time.Sleep(time.Hour) // lets closed connections and unanswered calls end
			})
		})
	}
}

func wantWhole(ctx context.Context, t *testing.T, s *site.Site, adapter, tokens int) {
	status, whole := complete(ctx, s, adapter, tokens)
	if !whole {
		t.Errorf("adapter %d: got status %d and no whole answer, want one", adapter, status)
	}
}

// comeBack asks until it is answered, as a caller does that is told when to come back.
func comeBack(ctx context.Context, s *site.Site, adapter int) {
	for whole := false; !whole; _, whole = complete(ctx, s, adapter, 2) {
		time.Sleep(justBefore)
	}
}

func complete(ctx context.Context, s *site.Site, adapter, tokens int) (status int, whole bool) {
	status, _, body, err := s.Complete(ctx, 1, site.AdapterName(adapter)+"@v1", "report", tokens, nil)
	_, whole = site.Text(body)
	return status, err == nil && whole
}
