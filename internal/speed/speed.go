// Package speed estimates how fast the reference engine reads prompts and generates events, from the streams of a host.
//
// Engines don't report their speed, and it differs between sites and models. The time to the first event grows with the
// prompt, and other delays don't depend on the prompt; so the slope between small and large prompts is the time per token.
// Samples of all engines count, each divided by the slowdown of its engine.
package speed

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/rates"
)

const (
	// initialTokenTime and initialEventGap apply until something was measured: typical of current engines, rounded up.
	initialTokenTime = 60 * time.Microsecond
	initialEventGap  = 40 * time.Millisecond
	// minTokenTime and maxTokenTime bound the estimate, so that a few outliers neither stop nor flood an engine.
	minTokenTime = 5 * time.Microsecond
	maxTokenTime = 2 * time.Millisecond
	// maxSamples is the number of newest prompts kept; the slope is fitted again after every fitInterval samples.
	maxSamples  = 256
	fitInterval = 4
	// priorTTL is how long the result of Prior is cached: a host computes the cost of a prompt for many engines at once,
	// and each call of Prior takes a median over all hosts.
	priorTTL = 100 * time.Millisecond
	// minSamples is how many samples a fit needs.
	minSamples = 8
	// minTokenDiff is the least difference in tokens between two prompts that gives a useful slope.
	minTokenDiff = 200
)

// Speed is the estimate of one host. It is safe for concurrent use.
type Speed struct {
	// Prior returns the rates known from before this host started, used until it has measurements of its own; may be nil.
	Prior func() rates.Rates
	// Slowdown returns how many times slower than the reference engine an engine is; nil means that all are equal.
	Slowdown func(id string) float64

	mu         sync.Mutex
	ring       []sample
	next       int
	newSamples int
	tokenTime  time.Duration
	eventGap   time.Duration

	prior   rates.Rates // last result of Prior
	priorAt time.Time
}

type sample struct {
	engine string
	tokens int
	took   time.Duration
}

// normalize returns the time that the reference engine would have taken.
func (s *Speed) normalize(id string, took time.Duration) time.Duration {
	if s.Slowdown == nil {
		return took
	}
	return time.Duration(float64(took) / s.Slowdown(id))
}

// AddPrompt adds a sample: the time from sending a prompt to an engine to its first event.
func (s *Speed) AddPrompt(id string, tokens int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ring) < maxSamples {
		s.ring = append(s.ring, sample{})
	}
	s.ring[s.next%len(s.ring)] = sample{id, tokens, took}
	s.next = (s.next + 1) % maxSamples
	s.newSamples++
	if s.newSamples >= fitInterval && len(s.ring) >= minSamples {
		s.newSamples = 0
		s.fitSlope()
	}
}

// fitSlope sets the token time to the median slope between small and large prompts. A mean would follow prompts that were
// delayed by queues or packet loss. Samples are normalized by the current slowdowns, since those were unknown when the first
// samples were taken.
func (s *Speed) fitSlope() {
	sorted := slices.Clone(s.ring)
	for i, one := range sorted {
		sorted[i].took = s.normalize(one.engine, one.took)
	}
	slices.SortFunc(sorted, func(a, b sample) int { return a.tokens - b.tokens })
	half := len(sorted) / 2
	var slopes []time.Duration
	for i := range half {
		small, large := sorted[i], sorted[len(sorted)-half+i]
		if tokens := large.tokens - small.tokens; tokens >= minTokenDiff {
			slopes = append(slopes, (large.took-small.took)/time.Duration(tokens))
		}
	}
	if len(slopes) < minSamples/4 {
		return
	}
	slices.Sort(slopes)
	s.tokenTime = min(maxTokenTime, max(minTokenTime, slopes[len(slopes)/2]))
}

// AddGap adds the time between two events of a stream at an engine.
func (s *Speed) AddGap(id string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	took = s.normalize(id, took)
	if s.eventGap == 0 {
		s.eventGap = s.initialGap()
	}
	// Approximates the median in small steps; the prompts of other streams distort the mean.
	step := max(100*time.Microsecond, s.eventGap/50)
	if took > s.eventGap {
		s.eventGap += step
	} else {
		s.eventGap = max(time.Millisecond, s.eventGap-step)
	}
}

// Cost returns the time to read a prompt of the given number of tokens.
func (s *Speed) Cost(tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokenTime == 0 {
		return time.Duration(tokens) * cmp.Or(s.priorRates().TokenTime, initialTokenTime)
	}
	return time.Duration(tokens) * s.tokenTime
}

// Gap returns the typical time between two events of a stream.
func (s *Speed) Gap() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.eventGap == 0 {
		return s.initialGap()
	}
	return s.eventGap
}

// Rates returns the rates that this host has measured, or else the prior ones.
func (s *Speed) Rates() rates.Rates {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.priorRates()
	return rates.Rates{TokenTime: cmp.Or(s.tokenTime, before.TokenTime), EventInterval: cmp.Or(s.eventGap, before.EventInterval)}
}

func (s *Speed) priorRates() rates.Rates {
	if s.Prior == nil {
		return rates.Rates{}
	}
	if now := time.Now(); now.Sub(s.priorAt) >= priorTTL {
		s.prior, s.priorAt = s.Prior(), now
	}
	return s.prior
}

// initialGap returns the time between events from which the estimate starts.
func (s *Speed) initialGap() time.Duration {
	return cmp.Or(s.priorRates().EventInterval, initialEventGap)
}
