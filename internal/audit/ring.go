package audit

import (
	"unsafe"

	"damaskreach/internal/event"
	"damaskreach/internal/query"
)

// ring is a queue of events whose oldest are dropped when it holds too many bytes.
type ring struct {
	events []event.Event // from start on; those before were dropped
	start  int
	bytes  int
	most   int
}

func (r *ring) add(e event.Event) {
	r.events = append(r.events, e)
	r.bytes += size(e)
	for r.bytes > r.most && r.start < len(r.events) {
		r.bytes -= size(r.events[r.start])
		r.events[r.start] = event.Event{}
		r.start++
	}
	if r.start > len(r.events)/2 {
		r.events = append(make([]event.Event, 0, len(r.events)), r.events[r.start:]...)
		r.start = 0
	}
}

func (r *ring) find(q query.Query) []event.Event {
	var found []event.Event
	for _, e := range r.events[r.start:] {
		if q.Match(e) {
			found = append(found, e)
		}
	}
	return found
}

// size counts an event twice without its texts, since the queue's array may be twice as long as what it holds.
func size(e event.Event) int {
	texts := len(e.Node) + len(e.Request) + len(e.Why.Kind) + len(e.Why.Text) + len(e.Why.Model) + len(e.Why.Runner)
	return 2*int(unsafe.Sizeof(e)) + texts
}
