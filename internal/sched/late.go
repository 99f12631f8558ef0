package sched

import (
	"time"

	"damaskreach/pkg/refuse"
)

// surely is the share of a starting value that is taken for certain until something is learnt.
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

// least returns the time an answer surely takes from now. It uses what was learnt of the quickest loads and steps
// and of the shortest answers: a refusal on averages would hit attempts that make it.
func (s *Sched) least(now time.Time, i *item) time.Duration {
	least := s.pace.value * s.short.value * float64(i.call.Tokens)
	if !i.ready() {
		least += s.leastLoad(now, i.model)
	}
	return time.Duration(least * float64(time.Second))
}

// leastLoad returns the seconds a load surely takes yet.
func (s *Sched) leastLoad(now time.Time, m *model) float64 {
	left := s.fast.value
	if m.state == loading {
		left -= now.Sub(m.changed).Seconds()
	}
	return max(0, left)
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
