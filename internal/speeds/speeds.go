// Package speeds holds the speed of each engine as one host knows it.
//
// A host measures the events of its own streams and reports them to the engine's owner, which distributes the result over all
// hosts (package tempo). The time to read a prompt is that of the reference engine, which this host
// measures over all engines, times the engine's slowdown in generating events.
package speeds

import (
	"maps"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/gaps"
	"damaskreach/internal/speed"
)

const (
	// minSlowdown and maxSlowdown bound the slowdown of an engine against the reference.
	minSlowdown = 0.2
	maxSlowdown = 12.0
	// medianRefreshShare is the number of reports, as a share of the engines, after which the median is recomputed.
	medianRefreshShare = 1.0 / 8
	// ownTTL is how long own measurements of an unused engine are kept.
	ownTTL = 10 * time.Second
)

// Speeds is safe for concurrent use.
type Speeds struct {
	reference *speed.Speed

	mu       sync.RWMutex
	reported map[string]time.Duration // gap between two events, by engine
	own      map[string]*measurement
	median   time.Duration // of reported
	updates  int           // reports since median was computed
}

// measurement is what this host has measured at one engine.
type measurement struct {
	gaps      gaps.Gaps
	updatedAt time.Time
}

// NewSpeeds returns a Speeds without reports and sets the Slowdown of reference.
func NewSpeeds(reference *speed.Speed) *Speeds {
	s := &Speeds{reference: reference, reported: map[string]time.Duration{}, own: map[string]*measurement{}}
	reference.Slowdown = s.Slowdown
	return s
}

// SetReported records the usual gap between two events at an engine, from its owner; 0 if unknown.
func (s *Speeds) SetReported(id string, event time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event == 0 {
		delete(s.reported, id)
		return
	}
	s.reported[id] = event
	s.updates++
	if float64(s.updates) >= medianRefreshShare*float64(len(s.reported)) {
		s.updateMedian()
	}
}

// updateMedian computes the gap of the reference engine, the median of the reports. The caller holds the lock.
func (s *Speeds) updateMedian() {
	events := slices.Sorted(maps.Values(s.reported))
	s.median, s.updates = events[len(events)/2], 0
}

// AddPrompt adds the time from sending a prompt to an engine to its first event.
func (s *Speeds) AddPrompt(id string, tokens int, took time.Duration) {
	s.reference.AddPrompt(id, tokens, took)
}

// AddGap adds the time between two events of a stream at an engine.
func (s *Speeds) AddGap(id string, took time.Duration, now time.Time) {
	s.reference.AddGap(id, took)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.own[id]
	if !ok {
		o = &measurement{}
		s.own[id] = o
	}
	o.gaps.Add(took, now)
	o.updatedAt = now
}

// Measured returns the usual gap between events at an engine as recently measured by this host, and the number of gaps.
func (s *Speeds) Measured(id string, now time.Time) (event time.Duration, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.own[id]; ok {
		return o.gaps.Quartile(now)
	}
	return 0, 0
}

// Slowdown returns how many times slower than the reference engine an engine is.
func (s *Speeds) Slowdown(id string) float64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	event, ok := s.reported[id]
	if !ok {
		return 1
	}
	return min(maxSlowdown, max(minSlowdown, float64(event)/float64(s.median)))
}

// Cost returns the time that an engine needs to read a prompt of the given number of tokens.
func (s *Speeds) Cost(id string, tokens int) time.Duration {
	return time.Duration(s.Slowdown(id) * float64(s.reference.Cost(tokens)))
}

// Gap returns the usual time between two events of a stream at an engine.
func (s *Speeds) Gap(id string) time.Duration {
	s.mu.RLock()
	event, ok := s.reported[id]
	s.mu.RUnlock()
	if !ok {
		return s.reference.Gap()
	}
	return event
}

// Forget drops engines that are gone and own measurements older than ownTTL.
func (s *Speeds) Forget(gone func(id string) bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.reported {
		if gone(id) {
			delete(s.reported, id)
		}
	}
	for id, o := range s.own {
		if gone(id) || now.Sub(o.updatedAt) > ownTTL {
			delete(s.own, id)
		}
	}
}
