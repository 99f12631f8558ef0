// Package avoid tracks upstreams that have announced in answers that they accept no new requests from this host. The
// announcements come sooner than changes of the registrations, and also while the store is down.
package avoid

import (
	"sync"
	"sync/atomic"
	"time"

	"damaskreach/internal/notice"
	"damaskreach/internal/target"
)

// retention is how long after its last announcement an upstream without a registration is remembered: registrations lapse with
// the store and come back.
const retention = time.Minute

// Avoid records the announcements of upstreams. It may be used from several goroutines.
type Avoid struct {
	nonEmpty      atomic.Bool // whether there are announcements; saves the lock, as usually there are none
	mu            sync.RWMutex
	announcements map[string]announcement
}

// announcement is what one upstream has announced.
type announcement struct {
	leaving     bool
	born        int64     // incarnation that is leaving; a later one of the same id is not
	pausedUntil time.Time // until when it accepts no requests
	lastHeard   time.Time // when it last announced anything
}

// NewAvoid returns an Avoid without announcements.
func NewAvoid() *Avoid {
	return &Avoid{announcements: map[string]announcement{}}
}

// Record records an upstream's announcement. It reports whether the upstream has newly announced that it leaves.
func (a *Avoid) Record(t target.Target, n notice.Notice, now time.Time) (newlyLeaving bool) {
	if !n.Leaving && n.Rest <= 0 {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.announcements[t.ID]
	m.lastHeard = now
	if n.Leaving {
		newlyLeaving = !m.leaving || m.born != t.Incarnation
		m.leaving, m.born = true, t.Incarnation
	}
	if until := now.Add(n.Rest); until.After(m.pausedUntil) {
		m.pausedUntil = until
	}
	a.announcements[t.ID] = m
	a.nonEmpty.Store(true)
	return newlyLeaving
}

// Accepts reports whether an upstream accepts new requests from this host, according to its announcements.
func (a *Avoid) Accepts(t target.Target, now time.Time) bool {
	if !a.nonEmpty.Load() {
		return true
	}
	a.mu.RLock()
	defer a.mu.RUnlock()
	m := a.announcements[t.ID]
	return !m.isLeaving(t) && !now.Before(m.pausedUntil)
}

// isLeaving reports whether an incarnation has announced that it leaves.
func (m announcement) isLeaving(t target.Target) bool {
	return m.leaving && m.born == t.Incarnation
}

// Pause returns for how long an upstream still accepts no requests, 0 if it accepts them.
func (a *Avoid) Pause(id string, now time.Time) time.Duration {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return max(0, a.announcements[id].pausedUntil.Sub(now))
}

// Leaving reports whether an upstream has announced that it leaves.
func (a *Avoid) Leaving(t target.Target) bool {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.announcements[t.ID].isLeaving(t)
}

// Forget drops upstreams that are gone and have announced nothing for a while. Pauses that have not ended are kept.
func (a *Avoid) Forget(gone func(id string) bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, m := range a.announcements {
		if gone(id) && now.Sub(m.lastHeard) > retention && now.After(m.pausedUntil) {
			delete(a.announcements, id)
		}
	}
	a.nonEmpty.Store(len(a.announcements) > 0)
}
