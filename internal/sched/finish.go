package sched

import (
	"time"

	"damaskreach/internal/order"
)

// Finish ends an attempt in progress, however it ended; tokens is how many answer tokens came.
func (s *Sched) Finish(now time.Time, attempt string, tokens int) []order.Order {
	i := s.running[attempt]
	if i == nil {
		return s.plan(now)
	}
	s.drop(i)
	spent := now.Sub(i.started)
	s.answer.learn(spent)
	if tokens >= leastTokens {
		s.pace.learn(spent.Seconds() / float64(tokens))
		s.short.learn(float64(tokens) / float64(max(1, i.call.Tokens)))
	}
	return s.plan(now)
}

// Cancel takes a queued attempt back without an answer. One in progress keeps its model in use until Finish:
// the engine may still work on it, and unloading its model would break it or another caller's answer.
func (s *Sched) Cancel(now time.Time, attempt string) []order.Order {
	if i := s.find(attempt); i != nil {
		s.remove(i)
	}
	return s.plan(now)
}

// drop takes an item out of those in progress.
func (s *Sched) drop(i *item) {
	delete(s.running, i.call.Attempt)
	if i.model != nil {
		i.model.running--
	}
}
