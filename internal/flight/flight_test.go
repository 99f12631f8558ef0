package flight_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/flight"
	"damaskreach/internal/notice"
	"damaskreach/internal/target"
)

const slots = 3

var upstream = target.Target{ID: "u", Group: "g", Slots: slots}

func runWithBrittle(t *testing.T, story func(t *testing.T, f *flight.Flight)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := flight.NewFlight(func() time.Duration { return time.Since(start) })
		time.Sleep(time.Second)
		f.Observe(upstream, notice.Notice{Brittle: 4})
		story(t, f)
	})
}

// checkAcquired checks how many of ten requests may be sent at once.
func checkAcquired(t *testing.T, f *flight.Flight, first uint64, want int) {
	t.Helper()
	got := 0
	for n := range uint64(10) {
		if f.Acquire(upstream, first+n, time.Minute) == 0 {
			got++
		}
	}
	if got != want {
		t.Errorf("%d of ten requests may be sent, want %d", got, want)
	}
}

// More requests arrive than a brittle upstream can run. It would reject the excess and crash.
func TestBrittleUpstreamIsLimitedToItsSlots(t *testing.T) {
	runWithBrittle(t, func(t *testing.T, f *flight.Flight) {
		checkAcquired(t, f, 1, slots)
		f.Release("u", 1, false)
		f.Release("u", 2, false)
		checkAcquired(t, f, 20, 2)
	})
}

// A brittle upstream rejects requests. None may be sent for the rest of a second, since those in flight may be rejected too.
func TestRejectionsPauseBrittleUpstream(t *testing.T) {
	runWithBrittle(t, func(t *testing.T, f *flight.Flight) {
		f.Release("u", 0, true) // not counted before
		checkAcquired(t, f, 1, slots)
		f.Release("u", 1, true)
		checkAcquired(t, f, 20, 0)
		time.Sleep(time.Second)
		checkAcquired(t, f, 40, 1)
	})
}

// A host dies with requests in flight and never releases them. They must expire.
func TestUnreleasedRequestsExpire(t *testing.T) {
	runWithBrittle(t, func(t *testing.T, f *flight.Flight) {
		checkAcquired(t, f, 1, slots)
		time.Sleep(time.Minute)
		checkAcquired(t, f, 20, slots)
	})
}

// The newest report wins, whoever sends it; an older one must not restore brittleness.
func TestLatestBrittlenessReportWins(t *testing.T) {
	runWithBrittle(t, func(t *testing.T, f *flight.Flight) {
		time.Sleep(time.Second)
		if !f.Observe(upstream, notice.Notice{}) || f.Brittle(upstream) {
			t.Errorf("Brittle() = %v after an answer without brittleness, want false", f.Brittle(upstream))
		}
		if f.Update(upstream, 4, 500*time.Millisecond) || f.Brittle(upstream) {
			t.Error("Brittle() = true after an older report of another host, want false")
		}
		other := target.Target{ID: "other", Group: "g"}
		if !f.Brittle(other) {
			t.Error("Brittle() = false for an upstream of its group that has not answered since, want true")
		}
		f.Observe(other, notice.Notice{})
		if f.Brittle(other) {
			t.Error("Brittle() = true for an upstream that has answered since, want false")
		}
	})
}
