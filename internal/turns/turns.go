// Package turns repeats work at an interval until a context ends.
package turns

import (
	"context"
	"time"
)

// Every returns a sequence to range over that takes a turn each d until ctx ends, the first after d.
func Every(ctx context.Context, d time.Duration) func(yield func() bool) {
	return func(yield func() bool) {
		timer := time.NewTicker(d)
		defer timer.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			if !yield() {
				return
			}
		}
	}
}

// Now is Every with its first turn at once and a further one whenever wake receives; a nil wake never does.
func Now(ctx context.Context, d time.Duration, wake <-chan struct{}) func(yield func() bool) {
	return func(yield func() bool) {
		timer := time.NewTicker(d)
		defer timer.Stop()
		for yield() {
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			case <-wake:
			}
		}
	}
}
