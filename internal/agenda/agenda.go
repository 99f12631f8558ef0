// Package agenda runs a queue of events in virtual time.
//
// Nothing in it reads a clock or starts a goroutine, so that a run is the same each time.
package agenda

import (
	"container/heap"
	"time"
)

// epoch is the wall time at which every run starts.
var epoch = time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC)

// Queue holds what is to happen; the zero value is empty and at time zero.
type Queue struct {
	now    time.Duration
	serial int64
	queue  pending
}

// Now returns the virtual time since the start.
func (q *Queue) Now() time.Duration {
	return q.now
}

// Clock returns the virtual wall time.
func (q *Queue) Clock() time.Time {
	return epoch.Add(q.now)
}

// Wall turns a time since the start into a wall time.
func (q *Queue) Wall(at time.Duration) time.Time {
	return epoch.Add(at)
}

// Since turns a wall time into a time since the start.
func (q *Queue) Since(at time.Time) time.Duration {
	return at.Sub(epoch)
}

// At lets do happen at a time, or now where that is past; events of one time happen in the order they were added.
func (q *Queue) At(when time.Duration, do func()) {
	q.serial++
	heap.Push(&q.queue, event{at: max(when, q.now), serial: q.serial, do: do})
}

// After lets do happen in d.
func (q *Queue) After(d time.Duration, do func()) {
	q.At(q.now+d, do)
}

// Every lets do happen now and each d until the end of a span.
func (q *Queue) Every(d, span time.Duration, do func()) {
	if q.now > span {
		return
	}
	do()
	q.After(d, func() { q.Every(d, span, do) })
}

// Run lets everything happen that is due until a time.
func (q *Queue) Run(until time.Duration) {
	for len(q.queue) > 0 && q.queue[0].at <= until {
		next := heap.Pop(&q.queue).(event)
		q.now = next.at
		next.do()
	}
}

// event is something that happens at a time.
type event struct {
	at     time.Duration
	serial int64
	do     func()
}

// pending is a heap of events.
type pending []event

func (p pending) Len() int { return len(p) }

func (p pending) Less(i, j int) bool {
	if p[i].at != p[j].at {
		return p[i].at < p[j].at
	}
	return p[i].serial < p[j].serial
}

func (p pending) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push is called by container/heap.
func (p *pending) Push(x any) { *p = append(*p, x.(event)) }

// Pop is called by container/heap.
func (p *pending) Pop() any {
	last := len(*p) - 1
	x := (*p)[last]
	*p = (*p)[:last]
	return x
}
