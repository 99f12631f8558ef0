package sched

import (
	"time"

	"damaskreach/pkg/refuse"
)

// surely is the share of an estimated time that is taken for certain.
// Estimates err both ways; refusing on the full estimate would refuse attempts that make it.
const surely = 0.5

// refuseLate refuses attempts that cannot be answered before their deadline any more.
// They get their answer now, not at the deadline, so that the caller can act on it.
func (s *Sched) refuseLate(now time.Time) {
	for k := 0; k < len(s.queue); {
		i := s.queue[k]
		if i.call.Deadline.IsZero() || !now.Add(s.least(now, i)).After(i.call.Deadline) {
			k++
			continue
		}
		s.refuse(i, refuse.Deadline, "it cannot be answered before its deadline", s.expected(i))
	}
}

// least returns the time an answer surely takes from now.
func (s *Sched) least(now time.Time, i *item) time.Duration {
	least := surely * float64(s.pace.value) * float64(i.call.Tokens)
	if i.ready() {
		return time.Duration(least)
	}
	left := surely * float64(s.load.value)
	if i.model.state == loading {
		left -= float64(now.Sub(i.model.changed))
	}
	return time.Duration(least + max(0, left))
}

// expected returns how long a like request would have to wait before it starts, for the caller's next try.
func (s *Sched) expected(i *item) time.Duration {
	wait := minRetry
	if !i.ready() {
		wait += s.load.value
	}
	if len(s.running) >= s.batch {
		wait += s.turnover() * time.Duration(len(s.queue))
	}
	return wait
}
