package speeds_test

import (
	"testing"
	"time"

	"damaskreach/internal/speed"
	"damaskreach/internal/speeds"
)

const (
	event    = 30 * time.Millisecond
	perToken = 45 * time.Microsecond
)

var now = time.Unix(1000, 0)

// fleet is three engines, 1.6 times as fast as the usual one, as fast, and 0.6 times.
func fleet() *speeds.Speeds {
	s := speeds.NewSpeeds(&speed.Speed{})
	s.Told("fast", event*10/16)
	s.Told("usual", event)
	s.Told("slow", event*10/6)
	return s
}

// near checks a duration to a tenth.
func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want*9/10 || got > want*11/10 {
		t.Errorf("%s = %v, want %v or a tenth more or less", what, got, want)
	}
}

// Engines of one pool differ by a factor of three. Taken for alike, the slow ones get prompts that hold up their streams.
func TestEachEngineHasItsOwnSpeed(t *testing.T) {
	s := fleet()
	for i := range 300 {
		tokens := 100 + i*10
		for id, slow := range map[string]float64{"fast": 1 / 1.6, "usual": 1, "slow": 1 / 0.6} {
			s.First(id, tokens, time.Duration(slow*float64(event+time.Duration(tokens)*perToken)))
		}
	}
	near(t, "cost at the usual engine", s.Cost("usual", 1000), 1000*perToken)
	near(t, "cost at the fast one", s.Cost("fast", 1000), 1000*perToken*10/16)
	near(t, "cost at the slow one", s.Cost("slow", 1000), 1000*perToken*10/6)
	near(t, "time between events at the slow one", s.Gap("slow"), event*10/6)
}

// A host learns how fast engines are only after it has sent prompts to them for a while. What it measured before must not count as if they
// were alike: fast engines answer most prompts, and the usual one would pass for as fast as they are.
func TestWhatWasMeasuredBeforeSpeedsWereKnownCounts(t *testing.T) {
	s := speeds.NewSpeeds(&speed.Speed{})
	for i := range 200 {
		tokens := 100 + i*15
		id, slow := "fast", 1/1.6
		if i%4 == 0 {
			id, slow = "slow", 1/0.6
		}
		s.First(id, tokens, time.Duration(slow*float64(event+time.Duration(tokens)*perToken)))
	}
	s.Told("fast", event*10/16)
	s.Told("usual", event)
	s.Told("slow", event*10/6)
	for i := range 4 {
		s.First("usual", 1000+i, event+1000*perToken)
	}
	near(t, "cost at the usual engine", s.Cost("usual", 1000), 1000*perToken)
	near(t, "cost at the slow one", s.Cost("slow", 1000), 1000*perToken*10/6)
}

// An engine has just been added, or begun anew. Until it was measured it counts as the usual one.
func TestNewEngineCountsAsUsual(t *testing.T) {
	s := fleet()
	s.Told("slow", 0)
	for _, id := range []string{"new", "slow"} {
		if got := s.Slow(id); got != 1 {
			t.Errorf("%s: Slow = %v, want 1", id, got)
		}
	}
}

// Engines come and go all day. What is kept of them must not grow.
func TestEnginesThatAreGoneAreForgotten(t *testing.T) {
	s := fleet()
	s.Event("slow", event, now)
	s.Forget(func(id string) bool { return id == "slow" }, now)
	if got := s.Slow("slow"); got != 1 {
		t.Errorf("Slow = %v, want 1 for an engine that is gone", got)
	}
	s.Event("usual", event, now)
	s.Forget(func(string) bool { return false }, now.Add(time.Minute))
	if _, n := s.Measured("usual", now); n != 0 {
		t.Errorf("%d measurements kept of an engine that was not used for a minute, want none", n)
	}
}
