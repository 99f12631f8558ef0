// Package speeds holds how fast each engine is, as one host knows it.
//
// A host measures events of its own streams and passes them to the host that grants an engine's turns, which tells all what the measurements
// of all hosts come to (package tempo). How long an engine needs to read a prompt follows from that: what the usual engine needs, which this
// host measures by itself over all engines, times how much slower than the usual one it makes events.
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
	// leastSlow and mostSlow bound how much slower or faster than the usual one an engine counts.
	leastSlow = 0.2
	mostSlow  = 12.0
	// renewal is the part of the engines that must have been told of anew for the usual one to be looked for again.
	renewal = 1.0 / 8
	// idleFor is after how long an engine's own measurements are dropped.
	idleFor = 10 * time.Second
)

// Speeds may be used from several goroutines.
type Speeds struct {
	usual *speed.Speed // of the usual engine

	mu     sync.RWMutex
	told   map[string]time.Duration // between two events, by engine
	own    map[string]*own
	median time.Duration // of told
	news   int           // since it was found
}

// own is what this host has measured at one engine.
type own struct {
	gaps gaps.Gaps
	at   time.Time
}

// NewSpeeds returns what a host knows that has heard of no engine yet.
func NewSpeeds(usual *speed.Speed) *Speeds {
	s := &Speeds{usual: usual, told: map[string]time.Duration{}, own: map[string]*own{}}
	usual.Slow = s.Slow
	return s
}

// Told takes the usual time between two events at an engine, as the host says that grants its turns; 0 says that it is unknown.
func (s *Speeds) Told(id string, event time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event == 0 {
		delete(s.told, id)
		return
	}
	s.told[id] = event
	s.news++
	if float64(s.news) >= renewal*float64(len(s.told)) {
		s.look()
	}
}

// look finds the usual engine among those that were told of. It needs the lock.
func (s *Speeds) look() {
	events := slices.Sorted(maps.Values(s.told))
	s.median, s.news = events[len(events)/2], 0
}

// First takes the time from sending a prompt of so many tokens to an engine to its first event.
func (s *Speeds) First(id string, tokens int, took time.Duration) {
	s.usual.First(id, tokens, took)
}

// Event takes the time between two events of a stream at an engine.
func (s *Speeds) Event(id string, took time.Duration, now time.Time) {
	s.usual.Event(id, took)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.own[id]
	if !ok {
		o = &own{}
		s.own[id] = o
	}
	o.gaps.Add(took, now)
	o.at = now
}

// Measured returns the usual time between two events at an engine as this host measured it of late, and over how many.
func (s *Speeds) Measured(id string, now time.Time) (event time.Duration, count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.own[id]; ok {
		return o.gaps.Quartile(now)
	}
	return 0, 0
}

// Slow returns how many times slower than the usual engine one is.
func (s *Speeds) Slow(id string) float64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	event, ok := s.told[id]
	if !ok {
		return 1
	}
	return min(mostSlow, max(leastSlow, float64(event)/float64(s.median)))
}

// Cost returns the time that an engine needs to read a prompt of so many tokens.
func (s *Speeds) Cost(id string, tokens int) time.Duration {
	return time.Duration(s.Slow(id) * float64(s.usual.Cost(tokens)))
}

// Gap returns the usual time between two events at an engine.
func (s *Speeds) Gap(id string) time.Duration {
	s.mu.RLock()
	event, ok := s.told[id]
	s.mu.RUnlock()
	if !ok {
		return s.usual.Gap()
	}
	return event
}

// Forget drops engines that are gone, and measurements of those that this host has not used for long.
func (s *Speeds) Forget(gone func(id string) bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.told {
		if gone(id) {
			delete(s.told, id)
		}
	}
	for id, o := range s.own {
		if gone(id) || now.Sub(o.at) > idleFor {
			delete(s.own, id)
		}
	}
}
