package rising_test

import (
	"sync"
	"testing"

	"damaskreach/internal/rising"
)

// Many goroutines hear of revisions in any order. A host that went back to an older one would read again what it has, or rely on what it has not.
func TestNumberNeverFalls(t *testing.T) {
	const most = 1000
	var r rising.Rising
	var all sync.WaitGroup
	for n := range int64(most) {
		all.Go(func() {
			before := r.Raise(n * 7919 % most)
			if got := r.Load(); got < before {
				t.Errorf("number = %d after %d, want no less", got, before)
			}
		})
	}
	all.Wait()
	if got := r.Load(); got != most-1 {
		t.Errorf("number = %d, want %d", got, most-1)
	}
	if got := r.Raise(5); got != most-1 || r.Load() != most-1 {
		t.Errorf("Raise(5) = %d, then %d, want %d for both", got, r.Load(), most-1)
	}
}
