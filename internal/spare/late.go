package spare

import "time"

const (
	// settleInterval is how often it is looked up which upstreams were heard of.
	settleInterval = 50 * time.Millisecond
	// lateWindows is for how many windows a send without an answer may still arrive: an upstream, or the way to it, that stands still for longer has mostly ended.
	lateWindows = 2
	// maxSent bounds the requests of a group that are remembered.
	maxSent = 4096
	// stillAfter is for how long an upstream that has left a request without an answer must not be heard of to count as standing still.
	stillAfter = time.Second
)

// sent is what is known of a request that was sent more than once or got no answer. While a send may still arrive, its retries may yet become arrivals.
type sent struct {
	late    int                // retries that count as soon as no send may arrive any more
	slice   int64              // in which the newest other retry counts
	counted bool               // there is one
	silent  map[string]silence // of sends without an answer, by address
	until   time.Duration      // when it is forgotten
}

// silence is that of an upstream since a send to it was given up.
type silence struct {
	heard time.Time     // when it was last heard of before
	since time.Duration // when the send was given up
}

// GaveUp records that a send of a request was given up without an answer. An upstream that stands still, or a connection that is cut, may deliver it much later, so that
// the retries of several windows arrive in one. They count in every window until the upstream is heard of, and from then on.
func (s *Spare) GaveUp(group, request, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.advance(group)
	r := c.remember(request, s.Clock()+lateWindows*s.window())
	if r == nil {
		return
	}
	r.silent[addr] = silence{s.Heard(addr), s.Clock()}
	if r.counted && c.current-r.slice < keptSlices {
		c.retries[place(r.slice)]--
		r.late++
		c.late++
	}
	r.counted = false
}

// Late returns how many of the retries that count may yet arrive, since an upstream to which their requests were sent has not been heard of.
func (s *Spare) Late(group string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settle(s.advance(group))
}

// countRetry counts a retry: now, or once the sends before it can arrive no more.
func (c *counts) countRetry(request string, until time.Duration) {
	r := c.remember(request, until)
	if r != nil && len(r.silent) > 0 {
		r.late++
		c.late++
		return
	}
	c.retries[place(c.current)]++
	if r != nil {
		r.counted, r.slice = true, c.current
	}
}

// remember returns what is known of a request; nil if too many are remembered.
func (c *counts) remember(request string, until time.Duration) *sent {
	r, ok := c.sent[request]
	if !ok && len(c.sent) >= maxSent {
		return nil
	}
	if !ok {
		r = &sent{silent: map[string]silence{}}
		c.sent[request] = r
	}
	r.until = max(r.until, until)
	return r
}

// settle counts the retries of requests whose upstreams were heard of since as of now, and returns how many may still arrive.
func (s *Spare) settle(c *counts) (late int) {
	now := s.Clock()
	if now-c.settledAt < settleInterval {
		return c.late
	}
	c.settledAt, c.late = now, 0
	for request, r := range c.sent {
		for addr, silent := range r.silent {
			if !s.Heard(addr).Equal(silent.heard) {
				delete(r.silent, addr)
			} else if now-silent.since >= stillAfter {
				c.stillAt = now
			}
		}
		if len(r.silent) == 0 {
			c.retries[place(c.current)] += r.late
			r.late = 0
		}
		if now >= r.until {
			delete(c.sent, request)
			continue
		}
		c.late += r.late
	}
	return c.late
}

// inheritsLate reports whether retries of the last process on this host may arrive now: this one is young, and an upstream stood still a window ago or since.
func (s *Spare) inheritsLate(c *counts) bool {
	now := s.Clock()
	return now-s.startedAt < (1+lateWindows)*s.window() && c.stillAt > 0 && now-c.stillAt < s.window()
}

func (s *Spare) window() time.Duration {
	_, _, window := s.Bound()
	return window
}
