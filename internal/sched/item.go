package sched

import (
	"time"

	"damaskreach/internal/call"
)

// item is an attempt that is queued or in progress.
type item struct {
	call    call.Call
	model   *model // nil if the call needs no adapter
	serial  int64
	arrived time.Time
	started time.Time
}

// ready reports whether the item can start once the batch has room.
func (i *item) ready() bool {
	return i.model == nil || i.model.startable()
}

// before reports whether i is served before other.
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

func (s *Sched) removeQueued(target *item) {
	kept := s.queue[:0]
	for _, i := range s.queue {
		if i != target {
			kept = append(kept, i)
		}
	}
	s.queue[len(s.queue)-1] = nil
	s.queue = kept
	if target.model != nil {
		target.model.waiting--
	}
}

// findQueued returns the queued item of an attempt, or nil.
func (s *Sched) findQueued(attempt string) *item {
	for _, i := range s.queue {
		if i.call.Attempt == attempt {
			return i
		}
	}
	return nil
}
