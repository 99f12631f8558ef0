// Package spare is a retry budget: it bounds the sends to upstreams beyond the first one of each request, over a sliding window.
//
// When many requests fail at once, unbounded retries multiply the load just when there is least capacity. All hosts share one
// bound: each has the share of its own requests and an equal part of the constant extra. A new process doesn't know what its
// predecessor used and gets no extra until a window has passed; otherwise hosts that crash repeatedly would get it each time.
package spare

import (
	"sync"
	"time"
)

// usableShare is the part of its bound that a host uses, so that windows with other starts and hosts that come and go don't
// exceed the whole bound.
const usableShare = 0.7

// sliceCount is the number of slices of the window.
const sliceCount = 10

// Spare counts first sends and retries per group of upstreams. It is safe for concurrent use.
type Spare struct {
	// Bound returns the current settings: retries as a share of requests, the extra for all hosts, and the window.
	Bound func() (share, extra float64, window time.Duration)
	// Hosts returns how many hosts share the bound.
	Hosts func() int
	// Clock returns a monotonic time that also advances while the machine is suspended.
	Clock func() time.Duration
	// StartedAt is the start of this process by Clock.
	StartedAt time.Duration
	// Opened, if set, is called with each group that is counted for the first time.
	Opened func(group string)

	mu     sync.Mutex
	groups map[string]*counts
}

type counts struct {
	firstSends [sliceCount]float64
	retries    [sliceCount]float64
	current    int64 // number of the current slice
}

// CountFirst counts the first send of a request.
func (s *Spare) CountFirst(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, _, _ := s.advance(group)
	c.firstSends[c.current%sliceCount]++
}

// TryRetry reports whether a retry is allowed and, if so, counts it.
func (s *Spare) TryRetry(group string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.hasRoom(group)
	if ok {
		c.retries[c.current%sliceCount]++
	}
	return ok
}

// CanRetry reports whether a retry is allowed, without counting it.
func (s *Spare) CanRetry(group string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.hasRoom(group)
	return ok
}

// Usage returns how many retries of the window this host has used, how many it may use, and how many hosts share the bound.
func (s *Spare) Usage(group string) (used, bound float64, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, share, extra := s.advance(group)
	hosts = max(1, s.Hosts())
	return sum(c.retries), usableShare * (share*sum(c.firstSends) + extra/float64(hosts)), hosts
}

// hasRoom reports whether the bound allows one more retry.
func (s *Spare) hasRoom(group string) (c *counts, ok bool) {
	c, share, extra := s.advance(group)
	return c, sum(c.retries)+1 <= usableShare*(share*sum(c.firstSends)+extra/float64(max(1, s.Hosts())))
}

// advance clears the slices of a group that have left the window and returns its counts.
func (s *Spare) advance(group string) (c *counts, share, extra float64) {
	share, extra, window := s.Bound()
	now := s.Clock()
	if now-s.StartedAt < window {
		extra = 0
	}
	slice := int64(now / max(1, window/sliceCount))
	c, ok := s.groups[group]
	if !ok {
		c = &counts{current: slice}
		if s.groups == nil {
			s.groups = map[string]*counts{}
		}
		s.groups[group] = c
		if s.Opened != nil {
			s.Opened(group)
		}
	}
	for ; c.current < slice && slice-c.current < sliceCount; c.current++ {
		c.firstSends[(c.current+1)%sliceCount] = 0
		c.retries[(c.current+1)%sliceCount] = 0
	}
	if c.current < slice {
		*c = counts{current: slice}
	}
	return c, share, extra
}

func sum(values [sliceCount]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
