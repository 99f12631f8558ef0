package sched

import (
	"time"

	"damaskreach/internal/order"
)

// KeepResident sets the models of which operators want a copy resident at all times. This runner loads those with the value true
// if no runner has them; the last copy of any of them is unloaded only as a last resort. The caller calls it again whenever the
// names change.
func (s *Sched) KeepResident(names map[string]bool) {
	s.keepResident = names
	for name, own := range names {
		if own {
			s.model(name)
		}
	}
}

// isLastKept reports whether a kept model is resident on no other runner.
func (s *Sched) isLastKept(m *model) bool {
	_, kept := s.keepResident[m.name]
	return kept && s.copies[m.name] <= 1
}

// loadKept loads a kept model that no runner has, after unloading another one if no slot is free. It reports whether a kept
// model was missing.
func (s *Sched) loadKept(now time.Time) bool {
	m := s.missingKept()
	if m == nil {
		return false
	}
	if s.freeSlots() > 0 {
		why := s.loadReason(now, m)
		why.Kind, why.Text = "ahead", "operators want it resident and no runner had it"
		s.setState(now, m, loading)
		s.orders = append(s.orders, order.Order{Kind: order.Load, Model: m.name, Why: why})
		return true
	}
	if victim := s.chooseVictim(now); victim != nil && !s.isLastKept(victim) && !now.Before(s.noUnloadBefore) {
		s.orderUnload(now, victim, "an adapter that operators want resident needs the slot")
	}
	return true
}

func (s *Sched) missingKept() *model {
	var missing *model
	for name, here := range s.keepResident {
		m := s.models[name]
		if !here || m == nil || m.state != absent || m.unloadUnanswered || m.waiting > 0 || m.loadFailures > 0 || s.copies[name] > 0 {
			continue
		}
		if missing == nil || name < missing.name {
			missing = m
		}
	}
	return missing
}
