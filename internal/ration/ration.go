// Package ration keeps to the limits that upstreams name of themselves: how many requests a second they take from all hosts together.
//
// For each upstream one host counts: the one that gives it its orders, or one that all agree on. Hosts tell it what they heard in answers and
// how long ago, and the newest counts, so that a host which begins to count needs nothing of the one before.
package ration

import (
	"sync"
	"sync/atomic"
	"time"

	"damaskreach/internal/bucket"
	"damaskreach/internal/notice"
)

const (
	// leastRate, in requests a second, goes to upstreams that take fewer or none: only an answer tells that the need is over.
	leastRate = 0.25
	// burstFor is the time whose requests may go at once.
	burstFor = time.Second
)

// Ration may be used from several goroutines.
type Ration struct {
	clock   func() time.Duration
	limited atomic.Int64 // upstreams with a limit; asked for each upstream at many requests, and mostly there are none

	mu     sync.Mutex
	limits map[string]*limit
}

// limit is what one upstream has named last.
type limit struct {
	rate   float64        // requests a second; 0 where the newest answer names none
	at     time.Duration  // of the newest answer
	bucket *bucket.Bucket // nil where there is no limit
}

// NewRation returns one that has heard of no limit. The clock goes on through suspensions.
func NewRation(clock func() time.Duration) *Ration {
	return &Ration{clock: clock, limits: map[string]*limit{}}
}

// Hear takes what an upstream said in an answer that came just now. It reports whether that begins or ends a limit.
func (r *Ration) Hear(id string, n notice.Notice) (changed bool) {
	rate := 0.0
	if n.Limited {
		rate = max(leastRate, n.Limit)
	}
	return r.Told(id, rate, 0)
}

// Told takes what another host has heard of an upstream: the rate in requests a second, 0 for no limit, and how long ago.
func (r *Ration) Told(id string, rate float64, age time.Duration) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	l := r.limits[id]
	if l == nil {
		l = &limit{at: now - age}
		r.limits[id] = l
	}
	if now-age < l.at {
		return false
	}
	changed = (l.rate > 0) != (rate > 0)
	switch {
	case changed && rate > 0:
		r.limited.Add(1)
	case changed:
		r.limited.Add(-1)
	}
	l.at = now - age
	l.set(rate, now)
	return changed
}

// set takes the rate that counts from now on.
func (l *limit) set(rate float64, now time.Duration) {
	burst := max(1, rate*burstFor.Seconds())
	switch {
	case rate == l.rate:
	case rate == 0:
		l.bucket = nil
	case l.bucket == nil:
		l.bucket = bucket.NewBucket(rate, burst, now)
	default:
		l.bucket.Limit(now, rate, burst)
	}
	l.rate = rate
}

// Newest returns what is known of an upstream, to tell another host; ok is false where nothing is.
func (r *Ration) Newest(id string) (rate float64, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[id]
	if l == nil {
		return 0, 0, false
	}
	return l.rate, r.clock() - l.at, true
}

// Some reports whether any upstream names a limit.
func (r *Ration) Some() bool {
	return r.limited.Load() > 0
}

// Limited reports whether an upstream names a limit.
func (r *Ration) Limited(id string) bool {
	if !r.Some() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[id]
	return l != nil && l.bucket != nil
}

// Wait returns how long it will be until one more request may go to an upstream, and the time between two requests from then on.
func (r *Ration) Wait(id string) (wait, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[id]
	if l == nil || l.bucket == nil {
		return 0, 0
	}
	return l.bucket.Wait(r.clock(), 1), time.Duration(float64(time.Second) / l.rate)
}

// Take counts a request that goes to an upstream now. Where it may not go, wait is how long it will be until it may.
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
			r.limited.Add(-1)
		}
		delete(r.limits, id)
	}
}
