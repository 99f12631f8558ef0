// Package spare is a retry budget: it bounds the sends to upstreams beyond the first one of each request, over a sliding window.
//
// When many requests fail at once, unbounded retries multiply the load just when there is least capacity. All hosts share one
// bound: each has the share of its own requests and an equal part of the constant extra. What hosts may use is a sum over their requests, with the same weights at
// each, so that all of them together never use more than the share of all requests, wherever callers go and however often processes start. Whether a host
// has its part of the extra, and what its last process has left of it, is told by Part.
package spare

import (
	"sync"
	"time"

	"damaskreach/internal/used"
)

// usableShare is the part of its bound that a host uses. The rest is for what arrives later than it was sent.
const usableShare = 0.8

// sliceCount is the number of slices of the window. A window that begins within a slice ends within the one sliceCount later, so that it touches
// one more than that.
const sliceCount = 10

// keptSlices is the number of slices that are kept: those of a window and of the one before.
const keptSlices = 2*sliceCount + 1

// Spare counts first sends and retries per group of upstreams. It is safe for concurrent use.
type Spare struct {
	// Bound returns the current settings: retries as a share of requests, the extra for all hosts, and the window. Of the window, the one before
	// and the one half a window before, the requests of all hosts in that with the most count.
	Bound func() (share, extra float64, window time.Duration)
	// Hosts returns how many hosts share the bound.
	Hosts func() int
	// Part reports whether this host may use its part of the constant extra, and what the last process on it had used within the window, as its Close
	// returned it.
	Part func() (before used.Used, ok bool)
	// Clock returns a monotonic time that also advances while the machine is suspended.
	Clock func() time.Duration
	// Heard returns when something last came from an upstream's address; the zero time where nothing has.
	Heard func(addr string) time.Time
	// Refused, if set, is called when a retry is refused for the bound.
	Refused func()
	// Opened, if set, is called with each group that is counted for the first time.
	Opened func(group string)

	mu        sync.Mutex
	groups    map[string]*counts
	startedAt time.Duration // when the first request was counted
	closed    bool
}

// counts holds what came in each slice. A slice has the place of its number modulo keptSlices.
type counts struct {
	firstSends [keptSlices]int
	retries    [keptSlices]int
	hosts      [keptSlices]int  // that shared the bound as the slice began
	current    int64            // number of the current slice
	sent       map[string]*sent // requests that may yet arrive or were sent again, by id
	late       int              // retries among those that may yet arrive, as of settledAt
	settledAt  time.Duration
	stillAt    time.Duration // when an upstream was last seen to stand still, 0 for never
}

// CountFirst counts the first send of a request.
func (s *Spare) CountFirst(group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.advance(group)
	c.firstSends[place(c.current)]++
	s.settle(c)
}

// TryRetry reports whether a retry of a request is allowed and, if so, counts it.
func (s *Spare) TryRetry(group, request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.hasRoom(group)
	if ok {
		c.countRetry(request, s.Clock()+s.window())
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

// Usage returns how many retries this host has used and how many it may use in the window that has the least room left, how much of that is its part of
// the constant extra, and how many hosts share the bound.
func (s *Spare) Usage(group string) (used, bound, extra float64, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tightest(group, s.advance(group))
}

// Requests returns how many first sends this host has counted in the last window and in the one before.
func (s *Spare) Requests(group string) (last, before int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.advance(group)
	return c.firstSendsIn(c.current-sliceCount+1, c.current), c.firstSendsIn(c.current-2*sliceCount+1, c.current-sliceCount)
}

// hasRoom reports whether the bound allows one more retry.
func (s *Spare) hasRoom(group string) (c *counts, ok bool) {
	c = s.advance(group)
	used, bound, _, _ := s.tightest(group, c)
	ok = used+1 <= bound
	if !ok && s.Refused != nil {
		s.Refused()
	}
	return c, ok
}

// tightest returns the retries and the bound of the window with the least room among those that a retry now would fall into, this host's part of the
// constant extra, and the number of hosts that share the bound. Each window counts from the slice that it begins in, so that the bound holds for all, whenever they begin.
func (s *Spare) tightest(group string, c *counts) (used, bound, extra float64, hosts int) {
	share, _, _ := s.Bound()
	retries := s.settle(c)
	extra, hosts = s.part(group, c)
	if s.inheritsLate(c) {
		// The last process may have used all but this, and it may arrive now.
		share, extra = share*(1-usableShare)/usableShare, 0
	}
	used, allowed := s.leastRoom(share, retries, c)
	return used, allowed + extra, extra, hosts
}

// leastRoom returns the retries, with a number that count in every window, and the share of the requests of the window with the least room.
func (s *Spare) leastRoom(share float64, retries int, c *counts) (used, allowed float64) {
	for back := int64(0); back <= sliceCount; back++ {
		begin := c.current - back
		retries += c.retries[place(begin)]
		requests := usableShare * share * c.requests(begin)
		if back == 0 || requests-float64(retries) < allowed-used {
			used, allowed = float64(retries), requests
		}
	}
	return used, allowed
}

// requests returns the mean of the requests of a window that begins within a slice, as far as they are known now, and of the window before. Slices that a
// window covers only in part are left out. The bound counts the requests of all hosts in one of these windows; were each host to take the one in which it
// has most, hosts that callers leave would count one and hosts that they come to the other.
func (c *counts) requests(begin int64) float64 {
	inWindow := c.firstSendsIn(begin+1, c.current)
	before := c.firstSendsIn(begin-sliceCount+1, begin-1)
	return float64(inWindow+before) / 2
}

// firstSendsIn returns the first sends of the slices from one to another, both included.
func (c *counts) firstSendsIn(from, to int64) (total int) {
	for slice := from; slice <= to; slice++ {
		total += c.firstSends[place(slice)]
	}
	return total
}

// mostHosts returns the largest number of hosts that shared the bound in the last window: a host that is gone may have used its part of it.
func (c *counts) mostHosts() int {
	most := 1
	for back := range int64(sliceCount + 1) {
		most = max(most, c.hosts[place(c.current-back)])
	}
	return most
}

// advance clears the slices of a group that are kept no longer and returns its counts.
func (s *Spare) advance(group string) *counts {
	_, _, window := s.Bound()
	slice := int64(s.Clock() / max(1, window/sliceCount))
	c, ok := s.groups[group]
	if !ok {
		c = &counts{current: slice, sent: map[string]*sent{}}
		if s.groups == nil {
			s.groups, s.startedAt = map[string]*counts{}, s.Clock()
		}
		s.groups[group] = c
		if s.Opened != nil {
			s.Opened(group)
		}
	}
	if c.current == slice && ok {
		return c
	}
	if slice-c.current >= keptSlices {
		*c = counts{current: slice, sent: c.sent}
	}
	for c.current < slice {
		c.current++
		at := place(c.current)
		c.firstSends[at], c.retries[at], c.hosts[at] = 0, 0, 0
	}
	c.hosts[place(slice)] = s.Hosts()
	return c
}

// place returns where a slice is kept. Slices before the clock's beginning were never counted.
func place(slice int64) int64 {
	return (slice%keptSlices + keptSlices) % keptSlices
}
