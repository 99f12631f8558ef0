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
	perToken = 27 * time.Microsecond // of the engine played here
	event    = 32 * time.Millisecond
)

// measured returns an estimate after an engine's answers to many prompts, some of them delayed by other things.
func measured() *speed.Speed {
	s := &speed.Speed{}
	r := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		tokens := 100 + r.IntN(3000)
		s.First("e", tokens, 40*time.Millisecond+time.Duration(tokens)*perToken+time.Duration(r.ExpFloat64()*float64(5*time.Millisecond)))
		s.Event("e", event+time.Duration(r.IntN(3))*time.Millisecond)
	}
	return s
}

// near checks a duration to a tenth.
func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if got < want*9/10 || got > want*11/10 {
		t.Errorf("%s = %v, want %v or a tenth more or less", what, got, want)
	}
}

func TestEstimateFollowsTheEngine(t *testing.T) {
	s := measured()
	near(t, "cost of 1,000 tokens", s.Cost(1000), 1000*perToken)
	near(t, "time between events", s.Gap(), event)
}

// All hosts of a site lose power. The engines are as fast as before, but no process is left that knows how fast that is.
func TestEstimateOutlivesItsHost(t *testing.T) {
	old := measured()
	after := &speed.Speed{Before: old.Rates}
	if got, want := after.Cost(1000), old.Cost(1000); got != want {
		t.Errorf("cost of 1,000 tokens = %v, want %v as before", got, want)
	}
	if got, want := after.Gap(), old.Gap(); got != want {
		t.Errorf("time between events = %v, want %v as before", got, want)
	}
	if got, want := after.Rates(), old.Rates(); got != want {
		t.Errorf("Rates = %v, want %v: what was found is passed on until it is measured anew", got, want)
	}
	for i := range 200 {
		tokens := 100 + i*10
		after.First("e", tokens, 2*time.Duration(tokens)*perToken)
	}
	near(t, "cost of 1,000 tokens on slower engines", after.Cost(1000), 2000*perToken)
	if got, want := (&speed.Speed{Before: func() rates.Rates { return rates.Rates{} }}).Cost(1000), (&speed.Speed{}).Cost(1000); got != want {
		t.Errorf("cost of 1,000 tokens where nothing was found = %v, want %v", got, want)
	}
}

// granted returns how many prompts of a crowd that is there at once get their turn at one engine within a time.
func granted(s *speed.Speed, tokens []int, within time.Duration) int {
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

// Hosts come back after all have lost power, and with them everybody who was cut off: forty prompts at once at an engine that
// holds a popular adapter, of 830 tokens in the mean as on the users' sheets. With a guess in place of what was measured before,
// the engine is given half of what it can read meanwhile, and the other callers get a late answer or none.
func TestCallersThatComeBackTogetherAreRead(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	tokens := make([]int, 200)
	for i := range tokens {
		tokens[i] = 100 + int(730*r.ExpFloat64())
	}
	const goal = 600 * time.Millisecond
	guessed := granted(&speed.Speed{}, tokens, goal)
	before := granted(measured(), tokens, goal)
	after := granted(&speed.Speed{Before: measured().Rates}, tokens, goal)
	t.Logf("prompts with a turn within %v: %d by the guess, %d by a host that went on, %d by one that came back", goal, guessed, before, after)
	if after != before {
		t.Errorf("prompts with a turn in time = %d, want %d as by a host that never ended", after, before)
	}
	if after <= guessed {
		t.Errorf("prompts with a turn in time = %d, want more than the %d of a host that knows nothing", after, guessed)
	}
}

// A host that has measured nothing asks for the time of a prompt at thousands of engines for one request. What hosts measured before is a median
// over hundreds of rows, and must not be found anew for each engine; yet what is known later must count soon.
func TestWhatWasKnownIsNotFoundAnewForEachEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked, known := 0, rates.Rates{TokenTime: 10 * time.Microsecond}
		s := &speed.Speed{Before: func() rates.Rates {
			asked++
			return known
		}}
		for range 3000 {
			s.Cost(1000)
			s.Gap()
		}
		if most := 2; asked > most {
			t.Errorf("asked %d times, want %d at most", asked, most)
		}
		known.TokenTime = 20 * time.Microsecond
		time.Sleep(150 * time.Millisecond)
		if got, want := s.Cost(1000), 20*time.Millisecond; got != want {
			t.Errorf("cost = %v once more is known, want %v", got, want)
		}
	})
}
