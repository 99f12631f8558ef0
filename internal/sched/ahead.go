package sched

import (
	"time"

	"damaskreach/internal/order"
)

// aheadDemand is the decayed count of requests from which a model is loaded before the next one comes.
const aheadDemand = 2.0

// loadAhead fills free slots, such as those of a restarted engine, with models that were asked for before and that
// no runner has. One load at a time, and none while requests wait for theirs: those must not queue behind it.
func (s *Sched) loadAhead(now time.Time) {
	if !s.policy.Ahead || !s.known || s.copies == nil {
		return
	}
	if s.count(loading)+s.count(unloading) > 0 || s.loadKept(now) || s.free() <= s.tune.Rare {
		return
	}
	m := s.sought(now)
	if m == nil {
		return
	}
	why := s.urgency(now, m)
	why.Kind = "ahead"
	why.Text = "it was in demand and no runner had it"
	s.turn(now, m, loading)
	s.out = append(s.out, order.Order{Kind: order.Load, Model: m.name, Why: why})
}

// sought returns the absent model in most demand that no runner has, or nil.
func (s *Sched) sought(now time.Time) *model {
	var best *model
	most := aheadDemand
	for _, m := range s.models {
		if m.state != absent || m.late || m.waiting > 0 || m.failures > 0 || s.copies[m.name] > 0 {
			continue
		}
		count := m.demand.At(now, s.tune.HalfLife)
		if count > most || count == most && best != nil && m.name < best.name {
			best, most = m, count
		}
	}
	return best
}
