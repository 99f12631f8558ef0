package sched

import (
	"time"

	"damaskreach/internal/order"
)

// minPreloadDemand is the decayed count of requests above which a model is preloaded.
const minPreloadDemand = 2.0

// preload fills free slots, such as those of a restarted engine, with models in demand that no runner has. It loads one at a
// time, and none while requests wait for theirs: those must not queue behind it.
func (s *Sched) preload(now time.Time) {
	if !s.policy.Ahead || !s.known || s.copies == nil {
		return
	}
	if s.countState(loading)+s.countState(unloading) > 0 || s.loadKept(now) || s.freeSlots() <= s.tune.Rare {
		return
	}
	m := s.mostDemanded(now)
	if m == nil {
		return
	}
	why := s.loadReason(now, m)
	why.Kind = "ahead"
	why.Text = "it was in demand and no runner had it"
	s.setState(now, m, loading)
	s.orders = append(s.orders, order.Order{Kind: order.Load, Model: m.name, Why: why})
}

// mostDemanded returns the absent model in most demand that no runner has, or nil.
func (s *Sched) mostDemanded(now time.Time) *model {
	var best *model
	maxDemand := minPreloadDemand
	for _, m := range s.models {
		if m.state != absent || m.unloadUnanswered || m.waiting > 0 || m.loadFailures > 0 || s.copies[m.name] > 0 {
			continue
		}
		count := m.demand.At(now, s.tune.HalfLife)
		if count > maxDemand || count == maxDemand && best != nil && m.name < best.name {
			best, maxDemand = m, count
		}
	}
	return best
}
