package recent_test

import (
	"slices"
	"testing"
	"time"

	"damaskreach/internal/recent"
)

var start = time.Unix(1000, 0)

// Entries stay for the retention at least, and go after twice that time as others are set.
func TestEntriesAreKeptForTheRetention(t *testing.T) {
	r := recent.NewRecent[string, int](time.Second, 100)
	r.Set("a", 1, start)
	r.Set("b", 2, start.Add(time.Second))
	if got, ok := r.Get("a"); !ok || got != 1 {
		t.Errorf("Get(a) = %d, %v after the retention, want 1", got, ok)
	}
	r.Set("c", 3, start.Add(2*time.Second))
	if got, ok := r.Get("a"); ok {
		t.Errorf("Get(a) = %d after twice the retention, want nothing", got)
	}
	got := slices.Sorted(r.Values())
	if want := []int{2, 3}; !slices.Equal(got, want) {
		t.Errorf("Values() = %v, want %v", got, want)
	}
}

// More keys are set than there is room for. The latest must be kept.
func TestLatestEntriesAreKeptBeyondTheLimit(t *testing.T) {
	r := recent.NewRecent[int, int](time.Hour, 10)
	for n := range 95 {
		r.Set(n, n, start)
	}
	if got := len(slices.Collect(r.Values())); got > 20 {
		t.Errorf("%d entries, want 20 at most", got)
	}
	for n := 85; n < 95; n++ {
		if _, ok := r.Get(n); !ok {
			t.Errorf("entry %d is gone, want the latest 10", n)
		}
	}
}
