package avoid_test

import (
	"testing"
	"time"

	"damaskreach/internal/avoid"
	"damaskreach/internal/notice"
	"damaskreach/internal/target"
)

var (
	now  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	old  = target.Target{ID: "u", Incarnation: 1}
	next = target.Target{ID: "u", Incarnation: 2}
)

// An upstream restarts under its id after it has left. Taken for its earlier incarnation, it would never get a request.
func TestNextIncarnationIsNotLeaving(t *testing.T) {
	a := avoid.NewAvoid()
	if !a.Record(old, notice.Notice{Leaving: true}, now) || a.Record(old, notice.Notice{Leaving: true}, now) {
		t.Error("the first announcement is not new, or the second one is")
	}
	if a.Accepts(old, now) || !a.Accepts(next, now) {
		t.Errorf("accepts requests = %v, the next incarnation %v, want only the next", a.Accepts(old, now), a.Accepts(next, now))
	}
	if !a.Leaving(old) || a.Leaving(next) {
		t.Errorf("leaving = %v, the next incarnation %v, want only the first", a.Leaving(old), a.Leaving(next))
	}
	if a.Record(next, notice.Notice{}, now); a.Leaving(next) {
		t.Error("the next incarnation is leaving, want it used")
	}
}

// A leaving upstream's registration lapses with the store and comes back as ready. If its announcement were forgotten, it would
// be used again.
func TestLeavingOutlastsALapsedRegistration(t *testing.T) {
	a := avoid.NewAvoid()
	a.Record(old, notice.Notice{Leaving: true}, now)
	gone := func(string) bool { return true }
	a.Forget(gone, now.Add(20*time.Second))
	if !a.Leaving(old) {
		t.Error("forgotten after 20 s without a registration, want it kept")
	}
	a.Forget(gone, now.Add(2*time.Minute))
	if a.Leaving(old) {
		t.Error("kept after 2 min, want it forgotten")
	}
}

// A request in progress is rejected with a shorter pause than an earlier one. The longer pause must still hold, also for an
// incarnation that registers meanwhile.
func TestLongestPauseApplies(t *testing.T) {
	a := avoid.NewAvoid()
	a.Record(old, notice.Notice{Rest: 3 * time.Second}, now)
	a.Record(old, notice.Notice{Rest: time.Second}, now.Add(500*time.Millisecond))
	a.Record(old, notice.Notice{}, now.Add(time.Second))
	if got, want := a.Pause("u", now.Add(time.Second)), 2*time.Second; got != want {
		t.Errorf("pause = %v, want %v", got, want)
	}
	if a.Accepts(old, now.Add(2999*time.Millisecond)) || !a.Accepts(old, now.Add(3*time.Second)) {
		t.Error("accepts requests during its pause, or none after it")
	}
	if got := a.Pause("u", now.Add(3*time.Second)); got != 0 {
		t.Errorf("pause = %v after the time asked for, want none", got)
	}
	if a.Leaving(old) {
		t.Error("an upstream that pauses counts as leaving")
	}
}
