package turns_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/turns"
)

const interval = 10 * time.Second

// A loop that goes on after its context has ended keeps a drained node busy with the platform; one whose first turn comes
// late leaves a starting node without its configuration for an interval.
func TestTurnsComeInTimeAndEndWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*interval+interval/2)
		defer cancel()
		start := time.Now()
		var every, now []time.Duration
		wake := make(chan struct{})
		go func() {
			time.Sleep(interval / 2)
			wake <- struct{}{}
		}()
		go func() {
			for range turns.Every(ctx, interval) {
				every = append(every, time.Since(start))
			}
		}()
		for range turns.Now(ctx, interval, wake) {
			now = append(now, time.Since(start))
		}
		synctest.Wait()
		if want := []time.Duration{interval, 2 * interval, 3 * interval}; !slices.Equal(every, want) {
			t.Errorf("Every: got turns at %v, want %v", every, want)
		}
		if want := []time.Duration{0, interval / 2, interval, 2 * interval, 3 * interval}; !slices.Equal(now, want) {
			t.Errorf("Now: got turns at %v, want %v", now, want)
		}
	})
}
