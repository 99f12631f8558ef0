// Package audit keeps the latest decisions of a node, for operators to ask about.
package audit

import (
	"sync"
	"time"

	"damaskreach/internal/event"
	"damaskreach/internal/reason"
)

// Audit is a bounded journal: when it is full the oldest entry makes room. It may be used from several goroutines.
type Audit struct {
	mu      sync.Mutex
	entries []event.Event
	next    int
	most    int
}

// NewAudit returns a journal of at most most entries.
func NewAudit(most int) *Audit {
	return &Audit{most: most}
}

// Add records a decision of a node about a request; request is empty where it concerns none.
func (a *Audit) Add(node, request string, why reason.Reason) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e := event.Event{At: time.Now(), Node: node, Request: request, Why: why}
	if len(a.entries) < a.most {
		a.entries = append(a.entries, e)
		return
	}
	a.entries[a.next] = e
	a.next = (a.next + 1) % a.most
}

// Find returns the entries, oldest first, whose request, model or runner is name; an empty name finds all.
func (a *Audit) Find(name string) []event.Event {
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []event.Event
	for i := range a.entries {
		e := a.entries[(a.next+i)%len(a.entries)]
		if name == "" || e.Request == name || e.Why.Model == name || e.Why.Runner == name {
			found = append(found, e)
		}
	}
	return found
}
