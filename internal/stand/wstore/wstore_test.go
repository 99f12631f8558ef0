package wstore_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/stand/recrd"
	"damaskreach/internal/stand/wstore"
)

// newStore returns a store on which one load alone takes a second.
func newStore() *wstore.Store {
	s := wstore.NewStore()
	s.Speed = 1000
	s.Size = func(string) int64 { return 1000 }
	return s
}

// near allows for the rounding of bytes to time.
func near(got, want time.Duration) bool {
	return (got - want).Abs() < 10*time.Millisecond
}

func TestLoadAloneHasFullSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		begin := time.Now()
		if err := s.Load(t.Context(), "a@1"); err != nil || !near(time.Since(begin), time.Second) {
			t.Errorf("Load took %v and returned %v, want 1s, nil", time.Since(begin), err)
		}
	})
}

func TestConcurrentLoadsShareTheSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		begin := time.Now()
		var first, second time.Duration
		var all sync.WaitGroup
		all.Go(func() {
			s.Load(t.Context(), "a@1")
			first = time.Since(begin)
		})
		all.Go(func() {
			time.Sleep(500 * time.Millisecond)
			s.Load(t.Context(), "b@1")
			second = time.Since(begin)
		})
		all.Wait()
		if !near(first, 1500*time.Millisecond) || !near(second, 2*time.Second) {
			t.Errorf("loads begun at 0s and 0.5s ended at %v and %v, want 1.5s and 2s", first, second)
		}
	})
}

// Engines ask for more loads than the store allows. The store refuses the rest, and each such refusal
// is a load stall for somebody.
func TestLoadRateIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.Speed = 1e9
		limited := 0
		for range 100 {
			if errors.Is(s.Load(t.Context(), "a@1"), wstore.ErrLimited) {
				limited++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if allowed := 100 - limited; allowed < 30 || allowed > 33 {
			t.Errorf("%d loads in 10 s were allowed, want about 30 besides a burst of 3", allowed)
		}
	})
}

// The store fails loads, turns slow, or goes down in the middle of one. An engine that waits
// must get an error then, and not wait for ever.
func TestStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.FailLoads(1)
		if err := s.Load(t.Context(), "a@1"); !errors.Is(err, wstore.ErrFailed) {
			t.Errorf("Load = %v, want %v", err, wstore.ErrFailed)
		}
		time.AfterFunc(500*time.Millisecond, func() { s.Slow(4) })
		begin := time.Now()
		if err := s.Load(t.Context(), "a@1"); err != nil || !near(time.Since(begin), 2500*time.Millisecond) {
			t.Errorf("Load turned slow half way took %v and returned %v, want 2.5s, nil", time.Since(begin), err)
		}
		time.AfterFunc(time.Second, func() { s.Down(true) })
		if err := s.Load(t.Context(), "a@1"); !errors.Is(err, wstore.ErrDown) {
			t.Errorf("Load broken by an outage = %v, want %v", err, wstore.ErrDown)
		}
		if err := s.Load(t.Context(), "a@1"); !errors.Is(err, wstore.ErrDown) {
			t.Errorf("Load in an outage = %v, want %v", err, wstore.ErrDown)
		}
		s.Down(false)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := s.Load(ctx, "a@1"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Load given up = %v, want %v", err, context.DeadlineExceeded)
		}
		want := []string{recrd.Refused, recrd.Whole, recrd.Cut, recrd.Refused, recrd.Cancelled}
		for i, rec := range s.Records() {
			if rec.End != want[i] {
				t.Errorf("record %d ended %q, want %q", i, rec.End, want[i])
			}
		}
	})
}
