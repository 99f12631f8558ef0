package ticker_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/ticker"
)

const interval = 10 * time.Second

// A loop that outlasts its context keeps a drained node busy with the platform; one whose first iteration is late leaves a starting node
// without its configuration for an interval.
func TestIterationsAreOnTimeAndEndWithContext(t *testing.T) {
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
			for range ticker.Every(ctx, interval) {
				every = append(every, time.Since(start))
			}
		}()
		for range ticker.Repeat(ctx, interval, wake) {
			now = append(now, time.Since(start))
		}
		synctest.Wait()
		if want := []time.Duration{interval, 2 * interval, 3 * interval}; !slices.Equal(every, want) {
			t.Errorf("Every: got iterations at %v, want %v", every, want)
		}
		if want := []time.Duration{0, interval / 2, interval, 2 * interval, 3 * interval}; !slices.Equal(now, want) {
			t.Errorf("Repeat: got iterations at %v, want %v", now, want)
		}
	})
}
