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

// newFleet returns the speeds of three engines: 1.6 times as fast as the reference, equal to it, and 0.6 times as fast.
func newFleet() *speeds.Speeds {
	s := speeds.NewSpeeds(&speed.Speed{})
	s.SetReported("fast", event*10/16)
	s.SetReported("usual", event)
	s.SetReported("slow", event*10/6)
	return s
}

// checkNear checks that a duration is within a tenth of the wanted one.
func checkNear(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want*9/10 || got > want*11/10 {
		t.Errorf("%s = %v, want %v or a tenth more or less", what, got, want)
	}
}

// Engines of one pool differ by a factor of three. If all counted as equal, slow ones would get prompts that stall their streams.
func TestEachEngineHasItsOwnSpeed(t *testing.T) {
	s := newFleet()
	for i := range 300 {
		tokens := 100 + i*10
		for id, slow := range map[string]float64{"fast": 1 / 1.6, "usual": 1, "slow": 1 / 0.6} {
			s.AddPrompt(id, tokens, time.Duration(slow*float64(event+time.Duration(tokens)*perToken)))
		}
	}
	checkNear(t, "cost at the usual engine", s.Cost("usual", 1000), 1000*perToken)
	checkNear(t, "cost at the fast one", s.Cost("fast", 1000), 1000*perToken*10/16)
	checkNear(t, "cost at the slow one", s.Cost("slow", 1000), 1000*perToken*10/6)
	checkNear(t, "time between events at the slow one", s.Gap("slow"), event*10/6)
}

// A host measures prompts before slowdowns are reported. Those samples must be normalized later: most are from fast engines,
// and the reference would seem as fast as they are.
func TestSamplesBeforeReportsAreNormalized(t *testing.T) {
	s := speeds.NewSpeeds(&speed.Speed{})
	for i := range 200 {
		tokens := 100 + i*15
		id, slow := "fast", 1/1.6
		if i%4 == 0 {
			id, slow = "slow", 1/0.6
		}
		s.AddPrompt(id, tokens, time.Duration(slow*float64(event+time.Duration(tokens)*perToken)))
	}
	s.SetReported("fast", event*10/16)
	s.SetReported("usual", event)
	s.SetReported("slow", event*10/6)
	for i := range 4 {
		s.AddPrompt("usual", 1000+i, event+1000*perToken)
	}
	checkNear(t, "cost at the usual engine", s.Cost("usual", 1000), 1000*perToken)
	checkNear(t, "cost at the slow one", s.Cost("slow", 1000), 1000*perToken*10/6)
}

// A new or restarted engine counts as the reference until it was measured.
func TestUnreportedEngineCountsAsReference(t *testing.T) {
	s := newFleet()
	s.SetReported("slow", 0)
	for _, id := range []string{"new", "slow"} {
		if got := s.Slowdown(id); got != 1 {
			t.Errorf("%s: Slowdown = %v, want 1", id, got)
		}
	}
}

// Engines come and go; their state must not accumulate.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	s := newFleet()
	s.AddGap("slow", event, now)
	s.Forget(func(id string) bool { return id == "slow" }, now)
	if got := s.Slowdown("slow"); got != 1 {
		t.Errorf("Slowdown = %v, want 1 for an engine that is gone", got)
	}
	s.AddGap("usual", event, now)
	s.Forget(func(string) bool { return false }, now.Add(time.Minute))
	if _, n := s.Measured("usual", now); n != 0 {
		t.Errorf("%d measurements kept of an engine that was not used for a minute, want none", n)
	}
}
