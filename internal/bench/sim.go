// Package bench runs the decision packages against a small model of engines and weight store in virtual time.
//
// Nothing in it reads a clock or starts a goroutine: a run is a queue of events, and equal arguments
// give equal results. It models what decides load stalls and batch efficiency, not a network.
package bench

import (
	"container/heap"
	"time"
)

// event is something that happens at a time; events of one time happen in the order they were added.
type event struct {
	at     time.Duration
	serial int64
	do     func()
}

// events is a heap of events.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push is called by container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is called by container/heap.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// sim is a run of virtual time.
type sim struct {
	now    time.Duration
	serial int64
	queue  events
}

// at adds an event.
func (s *sim) at(when time.Duration, do func()) {
	s.serial++
	heap.Push(&s.queue, event{at: max(when, s.now), serial: s.serial, do: do})
}

// after adds an event that happens in d.
func (s *sim) after(d time.Duration, do func()) {
	s.at(s.now+d, do)
}

// every repeats do until the end of a span.
func (s *sim) every(d, span time.Duration, do func()) {
	if s.now > span {
		return
	}
	do()
	s.after(d, func() { s.every(d, span, do) })
}

// run lets everything happen that is due until a time.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.do()
	}
}

// epoch is the wall time at which every run starts.
var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// clock returns the virtual wall time.
func (s *sim) clock() time.Time {
	return epoch.Add(s.now)
}
