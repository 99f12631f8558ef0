// Package holds keeps what each engine holds as far as this host knows.
//
// Engines' registrations are up to seconds old, so that a request for an adapter loaded a moment ago would seem to need
// another load. The host that gives an engine its orders knows sooner and tells the others. The higher count of orders
// wins.
package holds

import (
	"sync"
	"time"

	"damaskreach/internal/target"
)

// missFor is how long an engine that rejected a request for an adapter is taken not to hold it, where nothing newer is
// known: a registration's interval and some.
const missFor = 2 * time.Second

// mostLeft is how many evicted adapters are remembered, some 100 bytes each; engines keep the weights of a hundred or so.
const mostLeft = 20000

// Unknown is the version of an adapter that is held in a version nobody told.
const Unknown = 0

// Holds may be used from several goroutines.
type Holds struct {
	mu     sync.RWMutex
	told   map[string]told
	misses map[miss]time.Time
	left   map[string]place // where an adapter was last that nobody may hold now
}

// place is an engine in one incarnation.
type place struct {
	id   string
	born int64
}

type told struct {
	born     int64
	sequence int64
	adapters map[string]int
}

type miss struct {
	id      string
	adapter string
}

// NewHolds returns an empty record.
func NewHolds() *Holds {
	return &Holds{told: map[string]told{}, misses: map[miss]time.Time{}, left: map[string]place{}}
}

// Tell records what an engine's order giver knows it to hold after so many orders. The map must not be changed any more.
func (h *Holds) Tell(id string, born, sequence int64, adapters map[string]int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, ok := h.told[id]
	if ok && old.born == born && old.sequence > sequence {
		return
	}
	if ok && old.born > born {
		return
	}
	h.told[id] = told{born: born, sequence: sequence, adapters: adapters}
	if !ok || old.born != born {
		return
	}
	for a := range old.adapters {
		if _, still := adapters[a]; !still {
			h.remember(a, place{id, born})
		}
	}
}

// remember notes where an adapter was evicted: its weights are still at hand there, and a load takes a tenth of the time and
// brings nothing from the weight store.
func (h *Holds) remember(adapter string, at place) {
	if len(h.left) >= mostLeft {
		clear(h.left)
	}
	h.left[adapter] = at
}

// Recall notes which adapters an engine has at hand, as its order giver tells a host that has just been reached.
func (h *Holds) Recall(id string, born int64, adapters []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range adapters {
		if _, known := h.left[a]; !known {
			h.remember(a, place{id, born})
		}
	}
}

// Left reports whether an engine is the one from which an adapter was last evicted.
func (h *Holds) Left(t target.Target, adapter string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.left[adapter] == place{t.ID, t.Incarnation}
}

// Miss records that an engine rejected a request because it does not hold the adapter.
func (h *Holds) Miss(id, adapter string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.misses[miss{id, adapter}] = now
}

// Hit records that an engine serves an adapter after all.
func (h *Holds) Hit(id, adapter string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.misses, miss{id, adapter})
}

// Version returns the version of an adapter that an engine holds, and whether it holds it at all.
func (h *Holds) Version(t target.Target, adapter string, now time.Time) (int, bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.version(t, adapter, now)
}

// version needs the lock.
func (h *Holds) version(t target.Target, adapter string, now time.Time) (int, bool) {
	held := t.Adapters
	if known, ok := h.told[t.ID]; ok && known.born == t.Incarnation && known.sequence >= t.Sequence {
		held = known.adapters
	}
	version, ok := held[adapter]
	if !ok {
		return version, false
	}
	if at, ok := h.misses[miss{t.ID, adapter}]; ok && now.Sub(at) < missFor {
		return Unknown, false
	}
	return version, true
}

// Holders returns the engines of a list that hold an adapter, those with at least a version apart from those with an older one.
func (h *Holds) Holders(list []target.Target, adapter string, version int, now time.Time) (holders, older []target.Target) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, t := range list {
		held, ok := h.version(t, adapter, now)
		switch {
		case ok && held >= version:
			holders = append(holders, t)
		case ok:
			older = append(older, t)
		}
	}
	return holders, older
}

// Forget drops engines that are gone and misses that have ended.
func (h *Holds) Forget(targets map[string]target.Target, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.told {
		if _, ok := targets[id]; !ok {
			delete(h.told, id)
		}
	}
	for m, at := range h.misses {
		if now.Sub(at) >= missFor {
			delete(h.misses, m)
		}
	}
}
