// Package query holds what an operator asks the journals.
package query

import (
	"strings"
	"time"

	"damaskreach/internal/event"
)

// Query names decisions; empty fields leave nothing out. It is also the question nodes ask each other.
type Query struct {
	Request string    `msgpack:"request"`
	Adapter string    `msgpack:"adapter"` // name, with or without @version
	Runner  string    `msgpack:"runner"`
	Kind    string    `msgpack:"kind"`  // of decision, such as "unload"
	About   string    `msgpack:"about"` // any of the three above
	Since   time.Time `msgpack:"since"`
	Until   time.Time `msgpack:"until"`
	Most    int       `msgpack:"most"` // newest events returned; 0 means all
}

// Match reports whether an event is asked for.
func (q Query) Match(e event.Event) bool {
	switch {
	case q.Request != "" && e.Request != q.Request:
		return false
	case q.Adapter != "" && !adapter(e, q.Adapter):
		return false
	case q.Runner != "" && e.Why.Runner != q.Runner:
		return false
	case q.Kind != "" && e.Why.Kind != q.Kind:
		return false
	case q.About != "" && e.Request != q.About && e.Why.Runner != q.About && !adapter(e, q.About):
		return false
	case !q.Since.IsZero() && e.At.Before(q.Since):
		return false
	}
	return q.Until.IsZero() || !e.At.After(q.Until)
}

// Newest returns the last events that Most allows, of a list sorted by time.
func (q Query) Newest(events []event.Event) []event.Event {
	if q.Most > 0 && len(events) > q.Most {
		return events[len(events)-q.Most:]
	}
	return events
}

func adapter(e event.Event, name string) bool {
	return e.Why.Model == name || strings.HasPrefix(e.Why.Model, name+"@")
}
