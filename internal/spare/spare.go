// Package spare bounds what upstreams get beyond the first send of each request, over a sliding window.
//
// When many requests fail at once, second tries without a bound multiply the load just when there is least room for it.
// All hosts share one bound; each keeps to its part of it: the share of its own requests, and an equal part of the rest. A process that has just
// started does not know what the one before it used, and has no part of the rest until a window has passed: hosts that are killed again and again would
// get it anew each time.
package spare

import (
	"sync"
	"time"
)

// part is how much of its bound a host uses, so that windows cut at another moment and hosts that come and go do not
// add up to more than the whole.
const part = 0.7

// slices is how many parts the window is counted in.
const slices = 10

// Spare counts for each group of upstreams. It may be used from several goroutines.
type Spare struct {
	// Bound returns the share of requests, what is allowed beside it and the window, as settings have them now.
	Bound func() (share, extra float64, window time.Duration)
	// Hosts returns how many hosts share the bound.
	Hosts func() int
	// Clock goes on steadily, whatever becomes of the time of day, also through suspensions.
	Clock func() time.Duration
	// Begun is when this process began, by Clock.
	Begun time.Duration

	mu     sync.Mutex
	groups map[string]*counts
}

type counts struct {
	first  [slices]float64
	again  [slices]float64
	newest int64 // number of the slice that is being counted
}

// First counts a request's first send.
func (s *Spare) First(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, _, _ := s.at(group)
	c.first[c.newest%slices]++
}

// Again reports whether a request may be sent once more, and counts it where it may.
func (s *Spare) Again(group string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.room(group)
	if ok {
		c.again[c.newest%slices]++
	}
	return ok
}

// May reports whether Again would allow it, without counting it.
func (s *Spare) May(group string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.room(group)
	return ok
}

// room reports whether the bound allows one more.
func (s *Spare) room(group string) (c *counts, ok bool) {
	c, share, extra := s.at(group)
	return c, sum(c.again)+1 <= part*(share*sum(c.first)+extra/float64(max(1, s.Hosts())))
}

// at returns the counts of a group with those that have left the window cleared.
func (s *Spare) at(group string) (c *counts, share, extra float64) {
	share, extra, window := s.Bound()
	now := s.Clock()
	if now-s.Begun < window {
		extra = 0
	}
	slice := int64(now / max(1, window/slices))
	c, ok := s.groups[group]
	if !ok {
		c = &counts{newest: slice}
		if s.groups == nil {
			s.groups = map[string]*counts{}
		}
		s.groups[group] = c
	}
	for ; c.newest < slice && slice-c.newest < slices; c.newest++ {
		c.first[(c.newest+1)%slices] = 0
		c.again[(c.newest+1)%slices] = 0
	}
	if c.newest < slice {
		*c = counts{newest: slice}
	}
	return c, share, extra
}

func sum(values [slices]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
