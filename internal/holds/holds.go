// Package holds tracks which adapters each engine holds, as far as this host knows.
//
// Engines' registrations are up to seconds old, so an adapter loaded a moment ago would seem to need another load. The host
// that owns an engine knows sooner and reports to the others. The state with the higher order count wins.
package holds

import (
	"sync"
	"time"

	"damaskreach/internal/target"
)

// missTTL is how long an engine that rejected a request for an adapter counts as not holding it, unless a newer state
// arrives: somewhat more than the registration interval.
const missTTL = 2 * time.Second

// maxCached bounds the entries of cached, some 100 bytes each; an engine caches the weights of a hundred or so adapters.
const maxCached = 20000

// UnknownVersion is the version of an adapter whose held version is not known.
const UnknownVersion = 0

// Holds is safe for concurrent use.
type Holds struct {
	mu      sync.RWMutex
	reports map[string]report
	misses  map[miss]time.Time
	cached  map[string]location // where each adapter was last evicted
}

// location is an engine in one incarnation, between two restarts.
type location struct {
	id          string
	incarnation int64
}

type report struct {
	incarnation int64
	sequence    int64
	adapters    map[string]int
}

type miss struct {
	id      string
	adapter string
}

// NewHolds returns an empty Holds.
func NewHolds() *Holds {
	return &Holds{reports: map[string]report{}, misses: map[miss]time.Time{}, cached: map[string]location{}}
}

// Update records the adapters of an engine, with their versions, after the given number of orders, as reported by its owner.
// The caller must not change the map afterwards.
func (h *Holds) Update(id string, incarnation, sequence int64, adapters map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, ok := h.reports[id]
	if ok && old.incarnation == incarnation && old.sequence > sequence {
		return
	}
	if ok && old.incarnation > incarnation {
		return
	}
	h.reports[id] = report{incarnation: incarnation, sequence: sequence, adapters: adapters}
	if !ok || old.incarnation != incarnation {
		return
	}
	for a := range old.adapters {
		if _, still := adapters[a]; !still {
			h.recordCached(a, location{id, incarnation})
		}
	}
}

// recordCached stores where an adapter was evicted: the engine caches its weights, so that a load there takes a tenth of the
// time and does not use the weight store.
func (h *Holds) recordCached(adapter string, loc location) {
	if len(h.cached) >= maxCached {
		clear(h.cached)
	}
	h.cached[adapter] = loc
}

// AddCached records the adapters whose weights an engine caches, as its owner reports to a host that has just become reachable.
func (h *Holds) AddCached(id string, incarnation int64, adapters []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range adapters {
		if _, known := h.cached[a]; !known {
			h.recordCached(a, location{id, incarnation})
		}
	}
}

// CachedAt reports whether an engine caches an adapter: it was last evicted there, in this incarnation.
func (h *Holds) CachedAt(t target.Target, adapter string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.cached[adapter] == location{t.ID, t.Incarnation}
}

// RecordMiss records that an engine rejected a request because it does not hold the adapter.
func (h *Holds) RecordMiss(id, adapter string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.misses[miss{id, adapter}] = now
}

// ClearMiss records that an engine serves an adapter after all.
func (h *Holds) ClearMiss(id, adapter string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.misses, miss{id, adapter})
}

// Version returns the version of an adapter that an engine holds, and whether it holds the adapter.
func (h *Holds) Version(t target.Target, adapter string, now time.Time) (int, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.versionLocked(t, adapter, now)
}

// versionLocked is Version for callers that hold the lock.
func (h *Holds) versionLocked(t target.Target, adapter string, now time.Time) (int, bool) {
	held := t.Adapters
	if r, ok := h.reports[t.ID]; ok && r.incarnation == t.Incarnation && r.sequence >= t.Sequence {
		held = r.adapters
	}
	version, ok := held[adapter]
	if !ok {
		return version, false
	}
	if missedAt, ok := h.misses[miss{t.ID, adapter}]; ok && now.Sub(missedAt) < missTTL {
		return UnknownVersion, false
	}
	return version, true
}

// Holders returns the engines that hold at least a version of an adapter, and those that hold an older one.
func (h *Holds) Holders(list []target.Target, adapter string, version int, now time.Time) (holders, older []target.Target) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, t := range list {
		held, ok := h.versionLocked(t, adapter, now)
		switch {
		case ok && held >= version:
			holders = append(holders, t)
		case ok:
			older = append(older, t)
		}
	}
	return holders, older
}

// Forget drops engines that are gone and expired misses.
func (h *Holds) Forget(targets map[string]target.Target, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.reports {
		if _, ok := targets[id]; !ok {
			delete(h.reports, id)
		}
	}
	for m, missedAt := range h.misses {
		if now.Sub(missedAt) >= missTTL {
			delete(h.misses, m)
		}
	}
}
