package speed_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/pace"
	"damaskreach/internal/rates"
	"damaskreach/internal/speed"
)

const (
	perToken = 27 * time.Microsecond // of the simulated engine
	event    = 32 * time.Millisecond
)

// newMeasured returns an estimate from many prompts at one engine, some of them delayed by other causes.
func newMeasured() *speed.Speed {
	s := &speed.Speed{}
	r := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		tokens := 100 + r.IntN(3000)
		s.AddPrompt("e", tokens, 40*time.Millisecond+time.Duration(tokens)*perToken+time.Duration(r.ExpFloat64()*float64(5*time.Millisecond)))
		s.AddGap("e", event+time.Duration(r.IntN(3))*time.Millisecond)
	}
	return s
}

// checkNear checks that a duration is within a tenth of the wanted one.
func checkNear(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want*9/10 || got > want*11/10 {
		t.Errorf("%s = %v, want %v or a tenth more or less", what, got, want)
	}
}

func TestEstimateFollowsTheEngine(t *testing.T) {
	s := newMeasured()
	checkNear(t, "cost of 1,000 tokens", s.Cost(1000), 1000*perToken)
	checkNear(t, "time between events", s.Gap(), event)
}

// All hosts lose power, and the new processes have no measurements: they must use the rates measured before.
func TestEstimateSurvivesRestart(t *testing.T) {
	old := newMeasured()
	after := &speed.Speed{Prior: old.Rates}
	if got, want := after.Cost(1000), old.Cost(1000); got != want {
		t.Errorf("cost of 1,000 tokens = %v, want %v as before", got, want)
	}
	if got, want := after.Gap(), old.Gap(); got != want {
		t.Errorf("time between events = %v, want %v as before", got, want)
	}
	if got, want := after.Rates(), old.Rates(); got != want {
		t.Errorf("Rates = %v, want the prior rates %v until new measurements", got, want)
	}
	for i := range 200 {
		tokens := 100 + i*10
		after.AddPrompt("e", tokens, 2*time.Duration(tokens)*perToken)
	}
	checkNear(t, "cost of 1,000 tokens on slower engines", after.Cost(1000), 2000*perToken)
	if got, want := (&speed.Speed{Prior: func() rates.Rates { return rates.Rates{} }}).Cost(1000), (&speed.Speed{}).Cost(1000); got != want {
		t.Errorf("cost of 1,000 tokens without prior rates = %v, want %v", got, want)
	}
}

// countSent returns how many of a burst of prompts can be sent to one engine within a time.
func countSent(s *speed.Speed, tokens []int, within time.Duration) int {
	const careful, room = 1.3, 190 * time.Millisecond
	var p pace.Pace
	start := time.Unix(0, 0)
	now, count := start, 0
	for _, n := range tokens {
		cost := time.Duration(careful * float64(s.Cost(n)))
		now = now.Add(p.Wait(now, cost, room, s.Gap()))
		if now.Sub(start) > within {
			break
		}
		p.Send(now, cost, s.Gap())
		count++
	}
	return count
}

// After a power loss all callers return at once: forty prompts for one popular adapter, with the mean length of the users'
// sheets. With initial guesses instead of prior rates, the engine gets half of what it can read, and callers wait.
func TestRestartedHostSendsPromptsAtKnownSpeed(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	tokens := make([]int, 200)
	for i := range tokens {
		tokens[i] = 100 + int(730*r.ExpFloat64())
	}
	const goal = 600 * time.Millisecond
	guessed := countSent(&speed.Speed{}, tokens, goal)
	before := countSent(newMeasured(), tokens, goal)
	after := countSent(&speed.Speed{Prior: newMeasured().Rates}, tokens, goal)
	t.Logf("prompts sent within %v: %d by initial rates, %d without restart, %d after a restart", goal, guessed, before, after)
	if after != before {
		t.Errorf("prompts sent in time = %d, want %d as without a restart", after, before)
	}
	if after <= guessed {
		t.Errorf("prompts sent in time = %d, want more than the %d by initial rates", after, guessed)
	}
}

// A host without measurements computes costs for thousands of engines per request. Prior takes a median over hundreds of
// rows and must not run for each, but a newer result must be used soon.
func TestPriorRatesAreCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls, known := 0, rates.Rates{TokenTime: 10 * time.Microsecond}
		s := &speed.Speed{Prior: func() rates.Rates {
			calls++
			return known
		}}
		for range 3000 {
			s.Cost(1000)
			s.Gap()
		}
		if maxCalls := 2; calls > maxCalls {
			t.Errorf("asked %d times, want %d at most", calls, maxCalls)
		}
		known.TokenTime = 20 * time.Microsecond
		time.Sleep(150 * time.Millisecond)
		if got, want := s.Cost(1000), 20*time.Millisecond; got != want {
			t.Errorf("cost = %v with newer prior rates, want %v", got, want)
		}
	})
}
