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

var up = target.Target{ID: "u", Group: "g", Slots: slots}

func play(t *testing.T, story func(t *testing.T, f *flight.Flight)) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		f := flight.NewFlight(func() time.Duration { return time.Since(begun) })
		time.Sleep(time.Second)
		f.Hear(up, notice.Notice{Brittle: 4})
		story(t, f)
	})
}

// wantTaken checks how many of ten requests may go to the upstream at once.
func wantTaken(t *testing.T, f *flight.Flight, first uint64, want int) {
	t.Helper()
	got := 0
	for n := range uint64(10) {
		if f.Take(up, first+n, time.Minute) == 0 {
			got++
		}
	}
	if got != want {
		t.Errorf("%d of ten requests may go, want %d", got, want)
	}
}

// More requests come than a brittle upstream runs at once: those beyond would be turned away, and the upstream fall over.
func TestBrittleUpstreamGetsWhatItRunsAtOnce(t *testing.T) {
	play(t, func(t *testing.T, f *flight.Flight) {
		wantTaken(t, f, 1, slots)
		f.Ended("u", 1, false)
		f.Ended("u", 2, false)
		wantTaken(t, f, 20, 2)
	})
}

// It turns some away all the same: nothing goes there for the rest of a second, and what is on its way may still be turned away.
func TestBrittleUpstreamThatTurnsRequestsAwayGetsNone(t *testing.T) {
	play(t, func(t *testing.T, f *flight.Flight) {
		f.Ended("u", 0, true) // nobody has counted that one
		wantTaken(t, f, 1, slots)
		f.Ended("u", 1, true)
		wantTaken(t, f, 20, 0)
		time.Sleep(time.Second)
		wantTaken(t, f, 40, 1)
	})
}

// A host dies with requests under way, and never tells of their ends: their places are free again when their time is over.
func TestRequestsOfALostHostAreForgotten(t *testing.T) {
	play(t, func(t *testing.T, f *flight.Flight) {
		wantTaken(t, f, 1, slots)
		time.Sleep(time.Minute)
		wantTaken(t, f, 20, slots)
	})
}

// The newest word counts, whoever brings it: older word of its brittleness must not bring it back.
func TestUpstreamThatIsNotBrittleAnyMore(t *testing.T) {
	play(t, func(t *testing.T, f *flight.Flight) {
		time.Sleep(time.Second)
		if !f.Hear(up, notice.Notice{}) || f.Brittle(up) {
			t.Errorf("Brittle() = %v after an answer that says nothing of it, want false", f.Brittle(up))
		}
		if f.Told(up, 4, 500*time.Millisecond) || f.Brittle(up) {
			t.Error("Brittle() = true by older word of another host, want false")
		}
		other := target.Target{ID: "other", Group: "g"}
		if !f.Brittle(other) {
			t.Error("Brittle() = false of another one of its group that has not answered since, want true")
		}
		f.Hear(other, notice.Notice{})
		if f.Brittle(other) {
			t.Error("Brittle() = true of one that has answered since, want false")
		}
	})
}
