package sched

import (
	"time"

	"damaskreach/internal/order"
)

// Keep names the models of which operators want a copy resident at all times. Those with the value true are for this
// runner to load where no runner has them; the last copy of any of them is unloaded only where nothing else can be.
// The driver calls it again whenever the names change.
func (s *Sched) Keep(names map[string]bool) {
	s.kept = names
	for name, here := range names {
		if here {
			s.model(name)
		}
	}
}

// lastKept reports whether no other runner has a model that operators want resident.
func (s *Sched) lastKept(m *model) bool {
	_, kept := s.kept[m.name]
	return kept && s.copies[m.name] <= 1
}

// loadKept loads a kept model that no runner has, and unloads another one for it where no slot is free.
// It reports whether there was something to do.
func (s *Sched) loadKept(now time.Time) bool {
	m := s.missingKept()
	if m == nil {
		return false
	}
	if s.free() > 0 {
		why := s.urgency(now, m)
		why.Kind, why.Text = "ahead", "operators want it resident and no runner had it"
		s.turn(now, m, loading)
		s.out = append(s.out, order.Order{Kind: order.Load, Model: m.name, Why: why})
		return true
	}
	if victim := s.victim(now); victim != nil && !s.lastKept(victim) && !now.Before(s.unloads) {
		s.orderUnload(now, victim, "an adapter that operators want resident needs the slot")
	}
	return true
}

func (s *Sched) missingKept() *model {
	var first *model
	for name, here := range s.kept {
		m := s.models[name]
		if !here || m == nil || m.state != absent || m.late || m.waiting > 0 || m.failures > 0 || s.copies[name] > 0 {
			continue
		}
		if first == nil || name < first.name {
			first = m
		}
	}
	return first
}
