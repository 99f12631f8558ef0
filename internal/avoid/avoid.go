// Package avoid keeps which upstreams want no new requests of this host, as they said themselves beside answers: sooner than their registrations
// tell, and also while those cannot be written.
package avoid

import (
	"sync"
	"sync/atomic"
	"time"

	"damaskreach/internal/notice"
	"damaskreach/internal/target"
)

// keepFor is how long after its last word an upstream without a registration is remembered: registrations lapse with the store and come back.
const keepFor = time.Minute

// Avoid may be used from several goroutines.
type Avoid struct {
	some  atomic.Bool // marks has any; asked for each upstream at each request, and mostly there are none
	mu    sync.RWMutex
	marks map[string]mark
}

// mark is what one upstream said.
type mark struct {
	leaves bool
	born   int64     // incarnation that leaves; the next one under the same id does not
	rests  time.Time // until when it wants nothing
	heard  time.Time // when it said anything last
}

// NewAvoid returns one that has heard of nothing.
func NewAvoid() *Avoid {
	return &Avoid{marks: map[string]mark{}}
}

// Hear takes what an upstream said beside an answer. It reports whether that it leaves is new.
func (a *Avoid) Hear(t target.Target, n notice.Notice, now time.Time) (left bool) {
	if !n.Leaving && n.Rest <= 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.marks[t.ID]
	m.heard = now
	if n.Leaving {
		left = !m.leaves || m.born != t.Incarnation
		m.leaves, m.born = true, t.Incarnation
	}
	if rests := now.Add(n.Rest); rests.After(m.rests) {
		m.rests = rests
	}
	a.marks[t.ID] = m
	a.some.Store(true)
	return left
}

// Takes reports whether an upstream takes new requests of this host, as far as it has said.
func (a *Avoid) Takes(t target.Target, now time.Time) bool {
	if !a.some.Load() {
		return true
	}
	a.mu.RLock()
	defer a.mu.RUnlock()
	m := a.marks[t.ID]
	return !m.left(t) && !now.Before(m.rests)
}

// left reports whether an incarnation has said that it leaves.
func (m mark) left(t target.Target) bool {
	return m.leaves && m.born == t.Incarnation
}

// Rest returns for how long an upstream still wants nothing, 0 where it takes requests.
func (a *Avoid) Rest(id string, now time.Time) time.Duration {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return max(0, a.marks[id].rests.Sub(now))
}

// Leaves reports whether an upstream has said that it leaves.
func (a *Avoid) Leaves(t target.Target) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.marks[t.ID].left(t)
}

// Forget drops upstreams that are gone and were not heard of for a while; one that comes back rests on.
func (a *Avoid) Forget(gone func(id string) bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, m := range a.marks {
		if gone(id) && now.Sub(m.heard) > keepFor && now.After(m.rests) {
			delete(a.marks, id)
		}
	}
	a.some.Store(len(a.marks) > 0)
}
