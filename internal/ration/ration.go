// Package ration keeps to the limits that upstreams name of themselves: how many requests a second they take from all hosts together.
package ration

import (
	"sync"
	"time"

	"damaskreach/internal/notice"
)

// Ration may be used from several goroutines.
type Ration struct {
	mu     sync.Mutex
	limits map[string]*limit
}

// limit is what one upstream has named last.
type limit struct {
	rate float64       // requests a second; 0 where the newest answer names none
	at   time.Duration // of the newest answer
}

// NewRation returns one that has heard of no limit.
func NewRation() *Ration {
	return &Ration{limits: map[string]*limit{}}
}

// Hear takes what an upstream's answer said that came at a time, on a clock that goes on through suspensions. It reports whether that is
// the first answer that names a limit, or the first again that names none.
func (r *Ration) Hear(id string, n notice.Notice, at time.Duration) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[id]
	if l == nil && !n.Limited || l != nil && at < l.at {
		return false
	}
	if l == nil {
		l = &limit{}
		r.limits[id] = l
	}
	rate := 0.0
	if n.Limited {
		rate = n.Limit
	}
	changed = (l.rate > 0) != (rate > 0)
	l.rate, l.at = rate, at
	return changed
}

// Forget drops upstreams that are gone.
func (r *Ration) Forget(gone func(id string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.limits {
		if gone(id) {
			delete(r.limits, id)
		}
	}
}
