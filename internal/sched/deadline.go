package sched

import (
	"time"

	"damaskreach/pkg/refuse"
)

// initialFloorShare is the share of an initial value that is assumed as the floor until samples arrive.
const initialFloorShare = 0.5

// refuseLate refuses attempts that can no longer be answered before their deadlines: at once, so that callers can still act.
func (s *Sched) refuseLate(now time.Time) {
	for k := 0; k < len(s.queue); {
		i := s.queue[k]
		if i.call.Deadline.IsZero() || !now.Add(s.minAnswerTime(now, i)).After(i.call.Deadline) {
			k++
			continue
		}
		s.refuse(i, refuse.Deadline, "it cannot be answered before its deadline", s.retryAfter(i))
	}
}

// minAnswerTime returns the least time until an answer is complete. It uses the fastest loads and steps and the shortest answers:
// with averages, attempts would be refused that meet their deadlines.
func (s *Sched) minAnswerTime(now time.Time, i *item) time.Duration {
	seconds := s.minTokenSeconds.value * s.minTokenShare.value * float64(i.call.Tokens)
	if !i.ready() {
		seconds += s.minLoadLeft(now, i.model)
	}
	return time.Duration(seconds * float64(time.Second))
}

// minLoadLeft returns the least remaining time of a load, in seconds.
func (s *Sched) minLoadLeft(now time.Time, m *model) float64 {
	left := s.minLoadSeconds.value
	if m.state == loading {
		left -= now.Sub(m.changedAt).Seconds()
	}
	return max(0, left)
}

// retryAfter returns how long a similar request would wait to start, for the caller's next try.
func (s *Sched) retryAfter(i *item) time.Duration {
	wait := minRetryAfter
	if !i.ready() {
		wait += s.loadTime.value
	}
	if len(s.running) >= s.batch {
		wait += s.queueTurnover() * time.Duration(len(s.queue))
	}
	return wait
}
