// Package place decides which runner a request goes to.
//
// It does no I/O and starts no goroutines: time comes in as an argument and equal inputs give equal choices.
// A Place is used from one goroutine.
package place

import (
	"time"

	"damaskreach/internal/decay"
	"damaskreach/internal/policy"
	"damaskreach/internal/tune"
)

// Place is what a home node knows of the runners of its groups.
// Every Choose that returns a runner is followed by one Settle.
type Place struct {
	tune    tune.Tune
	policy  policy.Policy
	runners map[string]*target
	flying  map[string]*choice // by attempt
	twins   map[string]*twin   // by fingerprint
	prefix  *affinity
	demand  map[string]*decay.Count // by model
	loading int                     // models that runners are loading or wait to load
	load    time.Duration           // of one adapter at the store's full speed
	answer  time.Duration           // learnt time of one answer
	serial  uint64                  // of the last choice, to break ties in turn
}

// NewPlace returns a Place that knows no runners and follows the current policy.
func NewPlace(t tune.Tune) *Place {
	return NewVariant(t, policy.Current())
}

// NewVariant returns a Place that follows p, for comparisons.
func NewVariant(t tune.Tune, p policy.Policy) *Place {
	return &Place{
		tune:    t,
		policy:  p,
		runners: map[string]*target{},
		flying:  map[string]*choice{},
		twins:   map[string]*twin{},
		prefix:  newAffinity(),
		demand:  map[string]*decay.Count{},
		load:    usualLoad,
		answer:  usualAnswer,
	}
}

// Tune puts new options in force.
func (p *Place) Tune(t tune.Tune) {
	p.tune = t
}
