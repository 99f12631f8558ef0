package sched

import "damaskreach/internal/order"

// Hold forbids every unload while on is true: after a takeover the earlier owner's requests are not known yet,
// and unloading a model that one of them uses would cut it off.
func (s *Sched) Hold(on bool) []order.Order {
	s.hold = on
	return s.plan(s.now)
}

// Bar keeps a model from being started or loaded: an earlier owner's unload of it may still reach the engine.
// A request started meanwhile would lose its adapter.
func (s *Sched) Bar(name string) {
	s.turn(s.now, s.model(name), barred)
}

// Late keeps a model from being started or loaded again after an unload without an answer: its repeat may be answered, and
// the first order still arrive. Unlike Bar it leaves the slot to other models once the repeat is.
func (s *Sched) Late(name string) {
	m := s.model(name)
	m.late, m.since = true, s.now
}

// Unbar ends a Bar or Late; the engine's next report tells whether the model is resident.
func (s *Sched) Unbar(name string) []order.Order {
	if m := s.models[name]; m != nil {
		m.late = false
		if m.state == barred {
			s.turn(s.now, m, absent)
		}
	}
	return s.plan(s.now)
}
