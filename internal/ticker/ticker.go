// Package ticker repeats work at an interval until a context ends.
package ticker

import (
	"context"
	"time"
)

// Every returns a sequence that iterates each d until ctx ends, first after d.
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

// Repeat is Every with an iteration at once, and a further one whenever wake receives; wake may be nil.
func Repeat(ctx context.Context, d time.Duration, wake <-chan struct{}) func(yield func() bool) {
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
