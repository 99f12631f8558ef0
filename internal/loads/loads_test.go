package loads_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"damaskreach/internal/loads"
	"damaskreach/internal/permit"
)

// The seed is fixed so that every run tries the same sequences; -rapid.seed tries others.
func init() {
	if err := flag.Set("rapid.seed", "20260302"); err != nil {
		panic(err)
	}
}

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

const lease = 2 * time.Second

// The store slows down for everybody if two loads run at once or requests exceed its rate. Permits lost with their holder must
// expire.
func TestPermitsAreExclusiveAndRateLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := loads.NewLoads(3, lease)
		now, last := start, time.Time{}
		var held *permit.Permit
		check := func(granted []permit.Permit) {
			for _, p := range granted {
				if held != nil && now.Before(held.Until) {
					t.Fatalf("grant of %v while %v is held", p, *held)
				}
				if gap := now.Sub(last); gap < time.Second/3 {
					t.Fatalf("gap between grants: got %v, want at least %v", gap, time.Second/3)
				}
				held, last = &p, now
			}
		}
		for range 80 {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			runner := fmt.Sprint("r", rapid.IntRange(1, 5).Draw(t, "runner"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				check(l.Request(now, "n", runner, "m", rapid.Float64Range(0, 9).Draw(t, "urgency")))
			case 2:
				if held != nil {
					done := *held
					held = nil
					check(l.Release(now, done.Runner, done.Model))
				}
			default:
				check(l.Tick(now))
			}
		}
		for l.Waiting() > 0 {
			next := l.NextGrant()
			if next.Before(now) {
				next = now
			}
			if next.After(now.Add(lease + time.Second)) {
				t.Fatalf("next grant: got %v from now, want within a lease", next.Sub(now))
			}
			now = next
			check(l.Tick(now))
		}
	})
}

func TestMostUrgentLoadIsGrantedFirst(t *testing.T) {
	l := loads.NewLoads(3, lease)
	l.Request(start, "n", "r0", "m", 0)
	l.Request(start, "n", "r1", "m", 1)
	l.Request(start, "n", "r2", "m", 5)
	granted := l.Release(start.Add(time.Second), "r0", "m")
	if len(granted) != 1 || granted[0].Runner != "r2" {
		t.Errorf("second grant: got %v, want r2", granted)
	}
}

// Urgent loads keep coming. A less urgent one must not starve.
func TestOldRequestsAreNotStarved(t *testing.T) {
	l := loads.NewLoads(3, lease)
	l.Request(start, "n", "r0", "m", 0)
	l.Request(start, "n", "old", "m", 0)
	held := "r0"
	for n := 1; n < 60; n++ {
		now := start.Add(time.Duration(n) * time.Second)
		urgent := fmt.Sprint("u", n)
		l.Request(now, "n", urgent, "m", 5)
		granted := l.Release(now, held, "m")
		if len(granted) != 1 {
			t.Fatalf("grants at %d s: got %d, want 1", n, len(granted))
		}
		held = granted[0].Runner
		if held == "old" {
			return
		}
	}
	t.Error("the old request got no permit within a minute")
}
