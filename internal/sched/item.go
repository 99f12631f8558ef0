package sched

import (
	"time"

	"damaskreach/internal/call"
)

// item is an attempt that is queued or in progress.
type item struct {
	call    call.Call
	model   *model // nil where the call needs no adapter
	serial  int64
	arrived time.Time
	started time.Time
}

// ready reports whether nothing but room in the batch keeps the item from starting.
func (i *item) ready() bool {
	return i.model == nil || i.model.open()
}

// before reports whether i is to be started or loaded for ahead of other.
func (s *Sched) before(i, other *item) bool {
	if i.call.Priority != other.call.Priority {
		return i.call.Priority > other.call.Priority
	}
	own, others := s.shares.used(i.call.Tenant), s.shares.used(other.call.Tenant)
	if own != others {
		return own < others
	}
	return i.serial < other.serial
}

// remove takes an item out of the queue.
func (s *Sched) remove(gone *item) {
	kept := s.queue[:0]
	for _, i := range s.queue {
		if i != gone {
			kept = append(kept, i)
		}
	}
	s.queue[len(s.queue)-1] = nil
	s.queue = kept
	if gone.model != nil {
		gone.model.waiting--
	}
}

// find returns the queued item of an attempt, or nil.
func (s *Sched) find(attempt string) *item {
	for _, i := range s.queue {
		if i.call.Attempt == attempt {
			return i
		}
	}
	return nil
}
