package bench

import (
	"math/rand/v2"
	"time"

	"damaskreach/internal/agenda"
	"damaskreach/internal/loads"
	"damaskreach/internal/permit"
	"damaskreach/internal/policy"
	"damaskreach/internal/trace"
)

const (
	storeRate   = 3.0 // loads a second
	loadTime    = 300 * time.Millisecond
	permitLease = 5 * time.Second
	usualFails  = 0.01 // share of loads that fail at any time
)

// store is the weight store with its load scheduler: it runs one load at a time.
type store struct {
	sim   *agenda.Queue
	rand  *rand.Rand
	loads *loads.Loads
	speed float64
	fails float64
	start func(permit.Permit)
	wake  time.Duration // of the last planned tick
}

func newStore(s *agenda.Queue, p policy.Policy, seed uint64) *store {
	return &store{
		sim:   s,
		rand:  rand.New(rand.NewPCG(seed, 42)),
		loads: loads.NewWithPolicy(storeRate, permitLease, p),
		speed: 1,
		fails: usualFails,
	}
}

// grant starts the loads that were permitted and plans the next look.
func (s *store) grant(permits []permit.Permit) {
	for _, p := range permits {
		s.start(p)
	}
	next := s.loads.NextGrant()
	if next.IsZero() {
		return
	}
	wake := s.sim.Since(next)
	if s.wake > s.sim.Now() && s.wake <= wake {
		return
	}
	s.wake = wake
	s.sim.At(wake, func() { s.grant(s.loads.Tick(s.sim.Clock())) })
}

// load returns how long a load takes now and whether it fails.
func (s *store) load() (time.Duration, bool) {
	return time.Duration(float64(loadTime) / s.speed), s.rand.Float64() < s.fails
}

// slow and failing are the store's faults.
func (s *store) apply(kind string, share float64, lasts time.Duration) {
	switch kind {
	case trace.Slow:
		s.speed = share
		s.sim.After(lasts, func() { s.speed = 1 })
	case trace.Failing:
		s.fails = share
		s.sim.After(lasts, func() { s.fails = usualFails })
	}
}
