package sched

import (
	"time"

	"damaskreach/internal/order"
)

// Finish ends an attempt in progress, whatever its result; tokens is the number of answer tokens.
func (s *Sched) Finish(now time.Time, attempt string, tokens int) []order.Order {
	i := s.running[attempt]
	if i == nil {
		return s.plan(now)
	}
	s.removeRunning(i)
	spent := now.Sub(i.started)
	s.answerTime.learn(spent)
	if tokens >= minTokens {
		s.minTokenSeconds.learn(spent.Seconds() / float64(tokens))
		s.minTokenShare.learn(float64(tokens) / float64(max(1, i.call.Tokens)))
	}
	return s.plan(now)
}

// Cancel removes a queued attempt without an answer. One in progress keeps its model in use until Finish: the engine may
// still work on it, and unloading the model would break its or another caller's answer.
func (s *Sched) Cancel(now time.Time, attempt string) []order.Order {
	if i := s.findQueued(attempt); i != nil {
		s.removeQueued(i)
	}
	return s.plan(now)
}

func (s *Sched) removeRunning(i *item) {
	delete(s.running, i.call.Attempt)
	if i.model != nil {
		i.model.running--
	}
}
