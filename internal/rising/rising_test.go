package rising_test

import (
	"sync"
	"testing"

	"damaskreach/internal/rising"
)

// Goroutines raise the number in any order. A host that fell back to an older revision would read it again or miss newer ones.
func TestNumberNeverDecreases(t *testing.T) {
	const count = 1000
	var r rising.Rising
	var all sync.WaitGroup
	for n := range int64(count) {
		all.Go(func() {
			before := r.Raise(n * 7919 % count)
			if got := r.Load(); got < before {
				t.Errorf("number = %d after %d, want no less", got, before)
			}
		})
	}
	all.Wait()
	if got := r.Load(); got != count-1 {
		t.Errorf("number = %d, want %d", got, count-1)
	}
	if got := r.Raise(5); got != count-1 || r.Load() != count-1 {
		t.Errorf("Raise(5) = %d, then %d, want %d for both", got, r.Load(), count-1)
	}
}
