package sched

import "damaskreach/internal/order"

// HoldUnloads forbids all unloads while held is true: after a takeover the requests of the earlier owner are not known yet, and
// unloading a model that one of them uses would cut it off.
func (s *Sched) HoldUnloads(held bool) []order.Order {
	s.unloadsHeld = held
	return s.plan(s.now)
}

// Block keeps a model from being started or loaded: an earlier owner's unload may still reach the engine, and a request that
// started meanwhile would lose its adapter.
func (s *Sched) Block(name string) {
	s.setState(s.now, s.model(name), blocked)
}

// UnloadUnanswered keeps a model from being started or loaded after an unload without an answer, since that may still reach the
// engine after its repeat. Unlike Block it frees the slot for other models once the repeat is answered.
func (s *Sched) UnloadUnanswered(name string) {
	m := s.model(name)
	m.unloadUnanswered, m.unansweredSince = true, s.now
}

// Unblock ends Block and UnloadUnanswered; the engine's next report tells whether the model is resident.
func (s *Sched) Unblock(name string) []order.Order {
	if m := s.models[name]; m != nil {
		m.unloadUnanswered = false
		if m.state == blocked {
			s.setState(s.now, m, absent)
		}
	}
	return s.plan(s.now)
}
