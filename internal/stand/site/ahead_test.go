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
	slowRate = 0.25            // loads a second
	oneLoad  = 4 * time.Second // at that rate
)

// An engine restarts empty, and its owner orders the load of an adapter that was in demand, behind all loads that requests
// wait for. Then that adapter is asked for. If its load kept the place it was ordered with, every load ordered after it
// would go first, and a caller would wait half a minute longer than others who came later.
func TestLoadAheadIsHurriedOnceItIsAskedFor(t *testing.T) {
	for _, asks := range []int{0, 1} { // the node that orders the loads, or the other one
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := site.NewSite(1, 1)
			s.LoadRate = slowRate
			s.Engines[0].Slots = 16
			if err := s.Start(ctx, 20); err != nil {
				t.Fatal(err)
			}
			s.StartNode(ctx, 0)
			s.StartNode(ctx, 1)
			time.Sleep(2 * settle)
			for range 5 {
				for adapter := range 4 {
					wantWhole(ctx, t, s, adapter, 2)
				}
			}
			s.Engines[0].Crash()
			ahead := loadingAhead(t, s)
			var all sync.WaitGroup
			all.Go(func() {
				start := time.Now()
				status, _, body, err := s.Complete(ctx, asks, ahead, "report", 2, nil)
				if _, whole := site.Text(body); err != nil || !whole {
					t.Errorf("got status %d, error %v, want a whole answer", status, err)
				}
				if got, want := time.Since(start), 3*oneLoad; got > want {
					t.Errorf("got the answer after %s, want it within %s", got, want)
				}
			})
			time.Sleep(100 * time.Millisecond)
			for late := range 10 {
				all.Go(func() { wantWhole(ctx, t, s, 10+late, 2) })
			}
			all.Wait()
			cancel()
			s.Wait(0)
			s.Wait(1)
			time.Sleep(time.Hour) // lets closed connections and unanswered calls end
		})
	}
}

// loadingAhead waits until a load that no request waits for is itself waiting for the store, and returns its model.
func loadingAhead(t *testing.T, s *site.Site) string {
	t.Helper()
	var before string
	for range 600 {
		now := ""
		for i := range 2 {
			for _, d := range s.Node(i).Runners() {
				if len(d.Loading) > 0 {
					now = d.Loading[0]
				}
			}
		}
		if now != "" && now == before {
			return now
		}
		before = now
		time.Sleep(oneLoad / 10)
	}
	t.Fatal("got no load ahead, want one")
	return ""
}
