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

// An upstream starts again under its id after it has left: taken for the one before, it would get nothing as long as it lives.
func TestNextIncarnationIsUsed(t *testing.T) {
	a := avoid.NewAvoid()
	if !a.Hear(old, notice.Notice{Leaving: true}, now) || a.Hear(old, notice.Notice{Leaving: true}, now) {
		t.Error("the first word that it leaves is not new, or the second one is")
	}
	if a.Takes(old, now) || !a.Takes(next, now) {
		t.Errorf("takes requests = %v, the next incarnation %v, want the next alone", a.Takes(old, now), a.Takes(next, now))
	}
	if !a.Leaves(old) || a.Leaves(next) {
		t.Errorf("leaves = %v, the next incarnation %v, want the first alone", a.Leaves(old), a.Leaves(next))
	}
	if a.Hear(next, notice.Notice{}, now); a.Leaves(next) {
		t.Error("the next incarnation leaves though it does not say so")
	}
}

// Its registration lapses with the store and comes back, still ready: forgotten meanwhile, it would be used again while it leaves.
func TestLeavingOutlastsALapsedRegistration(t *testing.T) {
	a := avoid.NewAvoid()
	a.Hear(old, notice.Notice{Leaving: true}, now)
	gone := func(string) bool { return true }
	a.Forget(gone, now.Add(20*time.Second))
	if !a.Leaves(old) {
		t.Error("forgotten after 20 s without a registration, want it kept")
	}
	a.Forget(gone, now.Add(2*time.Minute))
	if a.Leaves(old) {
		t.Error("kept for ever, want it forgotten once it is gone for long")
	}
}

// A request that was under way is turned away with a shorter time than an earlier one: the longer one still holds, and also for an incarnation
// that registers meanwhile.
func TestRestLastsForTheLongestTimeAsked(t *testing.T) {
	a := avoid.NewAvoid()
	a.Hear(old, notice.Notice{Rest: 3 * time.Second}, now)
	a.Hear(old, notice.Notice{Rest: time.Second}, now.Add(500*time.Millisecond))
	a.Hear(old, notice.Notice{}, now.Add(time.Second))
	if got, want := a.Rest("u", now.Add(time.Second)), 2*time.Second; got != want {
		t.Errorf("rest = %v, want %v", got, want)
	}
	if a.Takes(old, now.Add(2999*time.Millisecond)) || !a.Takes(old, now.Add(3*time.Second)) {
		t.Error("takes requests within its rest, or none after it")
	}
	if got := a.Rest("u", now.Add(3*time.Second)); got != 0 {
		t.Errorf("rest = %v after the time asked for, want none", got)
	}
	if a.Leaves(old) {
		t.Error("an upstream that rests is taken for one that leaves")
	}
}
