package mover_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/mover"
)

// A stream falls silent, and a place elsewhere is found after a while. Cut before there is a place, its caller would get nothing more; moved although it goes on
// again, it would take a place that others need.
func TestStreamIsCutOnceThereIsAPlace(t *testing.T) {
	const found = 7
	for _, c := range []struct {
		name              string
		searchFor, silent time.Duration // how long the search and the silence last
		moved, released   bool
	}{
		{"goes on before it counts as silent", 0, 900 * time.Millisecond, false, false},
		{"stays silent", 0, time.Minute, true, false},
		{"stays silent, place found late", 3 * time.Second, time.Minute, true, false},
		{"goes on while a place is looked for", 3 * time.Second, 2 * time.Second, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cut, released atomic.Bool
				m := &mover.Mover[int]{
					MaxSilence: time.Second, Interval: 250 * time.Millisecond,
					Find:    func(context.Context) (int, bool) { time.Sleep(c.searchFor); return found, true },
					Release: func(int) { released.Store(true) },
					Cut:     func() { cut.Store(true) },
				}
				m.Start(t.Context())
				m.StartWaiting()
				time.Sleep(min(c.silent, 10*time.Second))
				if !cut.Load() {
					m.EventReceived()
				}
				time.Sleep(5 * time.Second)
				next := m.End()
				if got := next != nil && *next == found; got != c.moved || cut.Load() != c.moved {
					t.Errorf("moved = %v, cut = %v, want %v", got, cut.Load(), c.moved)
				}
				if got := released.Load(); got != c.released {
					t.Errorf("place released = %v, want %v", got, c.released)
				}
			})
		})
	}
}
