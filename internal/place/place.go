// Package place chooses the runner for each request.
//
// It does no I/O and starts no goroutines: the time is an argument, and equal inputs give equal choices.
// A Place is used from one goroutine.
package place

import (
	"time"

	"damaskreach/internal/decay"
	"damaskreach/internal/policy"
	"damaskreach/internal/tune"
)

// Place holds what a home node knows about the runners of its groups.
// Every Choose that returns a runner must be followed by one Settle.
type Place struct {
	tune         tune.Tune
	policy       policy.Policy
	runners      map[string]*target
	inFlight     map[string]*choice     // by attempt
	duplicates   map[string]*duplicates // by fingerprint
	prefixes     *affinity
	demand       map[string]*decay.Count // by model
	pendingLoads int                     // models that runners are loading or queueing to load
	loadTime     time.Duration           // of one adapter with the store at full speed
	answerTime   time.Duration           // smoothed duration of an answer
	choiceCount  uint64                  // choices so far; rotates ties
}

// NewPlace returns a Place without runners that follows the current policy.
func NewPlace(t tune.Tune) *Place {
	return NewWithPolicy(t, policy.Current())
}

// NewWithPolicy returns a Place that follows p, to compare policies.
func NewWithPolicy(t tune.Tune, p policy.Policy) *Place {
	return &Place{
		tune:       t,
		policy:     p,
		runners:    map[string]*target{},
		inFlight:   map[string]*choice{},
		duplicates: map[string]*duplicates{},
		prefixes:   newAffinity(),
		demand:     map[string]*decay.Count{},
		loadTime:   initialLoadTime,
		answerTime: initialAnswerTime,
	}
}

// SetTune replaces the options.
func (p *Place) SetTune(t tune.Tune) {
	p.tune = t
}
