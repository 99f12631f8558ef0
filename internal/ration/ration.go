// Package ration enforces the rate limits that upstreams announce: the requests a second that they accept from all hosts.
//
// One host counts for each upstream: its owner, or one that all agree on. The others send it the limits
// they saw in answers, with their ages, and the newest wins; so a host that takes over counting needs no state.
package ration

import (
	"sync"
	"sync/atomic"
	"time"

	"damaskreach/internal/bucket"
	"damaskreach/internal/notice"
)

const (
	// minRate, in requests a second, applies to upstreams that accept fewer or none: only an answer can end a limit.
	minRate = 0.25
	// burstInterval is the time whose requests may be sent at once.
	burstInterval = time.Second
)

// Ration holds the limits of upstreams. It is safe for concurrent use.
type Ration struct {
	clock        func() time.Duration
	limitedCount atomic.Int64 // upstreams with a limit; checked for each upstream of many requests and mostly 0

	mu     sync.Mutex
	limits map[string]*limit
}

// limit is the newest limit of one upstream.
type limit struct {
	rate      float64        // requests a second; 0 for no limit
	updatedAt time.Duration  // of the newest answer
	bucket    *bucket.Bucket // nil without a limit
}

// NewRation returns a Ration without limits. The clock must also advance while the machine is suspended.
func NewRation(clock func() time.Duration) *Ration {
	return &Ration{clock: clock, limits: map[string]*limit{}}
}

// Observe records the notice in an answer that has just arrived and reports whether it begins or ends a limit.
func (r *Ration) Observe(id string, n notice.Notice) (changed bool) {
	rate := 0.0
	if n.Limited {
		rate = max(minRate, n.Limit)
	}
	return r.Update(id, rate, 0)
}

// Update records a limit seen in an upstream's answer, by another host or by Observe: its rate in requests a second, 0 for no limit,
// and how long ago the answer came.
func (r *Ration) Update(id string, rate float64, age time.Duration) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	l := r.limits[id]
	if l == nil {
		l = &limit{updatedAt: now - age}
		r.limits[id] = l
	}
	if now-age < l.updatedAt {
		return false
	}
	changed = (l.rate > 0) != (rate > 0)
	switch {
	case changed && rate > 0:
		r.limitedCount.Add(1)
	case changed:
		r.limitedCount.Add(-1)
	}
	l.updatedAt = now - age
	l.setRate(rate, now)
	return changed
}

// setRate applies a rate from now on.
func (l *limit) setRate(rate float64, now time.Duration) {
	burst := max(1, rate*burstInterval.Seconds())
	switch {
	case rate == l.rate:
	case rate == 0:
		l.bucket = nil
	case l.bucket == nil:
		l.bucket = bucket.NewBucket(rate, burst, now)
	default:
		l.bucket.SetLimit(now, rate, burst)
	}
	l.rate = rate
}

// Latest returns the newest limit of an upstream, to send to another host; ok is false if none is known.
func (r *Ration) Latest(id string) (rate float64, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[id]
	if l == nil {
		return 0, 0, false
	}
	return l.rate, r.clock() - l.updatedAt, true
}

// AnyLimited reports whether any upstream has a limit.
func (r *Ration) AnyLimited() bool {
	return r.limitedCount.Load() > 0
}

// Limited reports whether an upstream has a limit.
func (r *Ration) Limited(id string) bool {
	if !r.AnyLimited() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[id]
	return l != nil && l.bucket != nil
}

// Wait returns the time until the next request may be sent to an upstream, and the gap between requests from then on.
func (r *Ration) Wait(id string) (wait, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[id]
	if l == nil || l.bucket == nil {
		return 0, 0
	}
	return l.bucket.Wait(r.clock(), 1), time.Duration(float64(time.Second) / l.rate)
}

// Take counts a request that is sent to an upstream now. If the limit forbids it, wait is the time until it may be sent.
func (r *Ration) Take(id string) (wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[id]
	if l == nil || l.bucket == nil {
		return 0
	}
	_, wait = l.bucket.Take(r.clock(), 1, 0)
	return wait
}

// Forget drops upstreams that are gone.
func (r *Ration) Forget(gone func(id string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, l := range r.limits {
		if !gone(id) {
			continue
		}
		if l.bucket != nil {
			r.limitedCount.Add(-1)
		}
		delete(r.limits, id)
	}
}
