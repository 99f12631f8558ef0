// Package audit keeps the latest decisions of a node, for operators to ask about.
package audit

import (
	"slices"
	"sync"

	"damaskreach/internal/event"
	"damaskreach/internal/query"
	"damaskreach/internal/reason"
)

// Audit is a journal bounded in bytes. Placements and starts come with every request and have a half of their own, so that
// at peak they do not push out refusals, loads and unloads. It may be used from several goroutines.
type Audit struct {
	mu    sync.Mutex
	usual ring // placements and starts
	rare  ring
}

// NewAudit returns a journal that keeps at most most bytes.
func NewAudit(most int) *Audit {
	return &Audit{usual: ring{most: most / 2}, rare: ring{most: most / 2}}
}

// Add records a decision; the oldest of its half make room.
func (a *Audit) Add(e event.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if usual(e.Why) {
		a.usual.add(e)
		return
	}
	a.rare.add(e)
}

// usual reports whether a decision is one that nearly every request causes.
func usual(why reason.Reason) bool {
	switch why.Kind {
	case reason.Started, "resident", "prefix", "loading", "free", "replace", "least":
		return true
	}
	return false
}

// Find returns the entries that a query matches, oldest first.
func (a *Audit) Find(q query.Query) []event.Event {
	a.mu.Lock()
	found := append(a.usual.find(q), a.rare.find(q)...)
	a.mu.Unlock()
	slices.SortStableFunc(found, func(a, b event.Event) int { return a.At.Compare(b.At) })
	return q.Newest(found)
}

// Rare returns the newest entries that few requests cause, such as refusals; at most most of them.
func (a *Audit) Rare(most int) []event.Event {
	a.mu.Lock()
	defer a.mu.Unlock()
	return query.Query{Most: most}.Newest(a.rare.find(query.Query{}))
}

// Bytes returns how much is kept.
func (a *Audit) Bytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usual.bytes + a.rare.bytes
}
