// Package event holds one decision as the journal of a node keeps it.
package event

import (
	"fmt"
	"slices"
	"time"

	"damaskreach/internal/reason"
)

// Event is a decision of a node.
type Event struct {
	At      time.Time     `json:"at" msgpack:"at"`
	Node    string        `json:"node" msgpack:"node"`
	Request string        `json:"request,omitempty" msgpack:"request,omitempty"` // request or attempt id; empty where it concerns none
	Why     reason.Reason `json:"why" msgpack:"why"`
}

// String returns the event as one line.
func (e Event) String() string {
	about := ""
	if e.Request != "" {
		about = " request " + e.Request
	}
	return fmt.Sprintf("%s %s %s%s: %s", e.At.UTC().Format("2006-01-02T15:04:05.000Z"), e.Node, e.Why.Kind, about, e.Why)
}

// Merge returns the events of several lists sorted by time, each once.
func Merge(lists ...[]Event) []Event {
	var all []Event
	for _, list := range lists {
		all = append(all, list...)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return a.At.Compare(b.At) })
	known := make(map[Event]bool, len(all))
	return slices.DeleteFunc(all, func(e Event) bool {
		e.At = e.At.Round(0).UTC()
		again := known[e]
		known[e] = true
		return again
	})
}
