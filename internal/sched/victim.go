package sched

import "time"

// chooseVictim returns the idle model that costs the least to unload, or nil.
func (s *Sched) chooseVictim(now time.Time) *model {
	if s.unloadsHeld {
		return nil
	}
	var best *model
	for _, m := range s.held {
		if !m.evictable() || m.waiting > 0 && !m.draining {
			continue
		}
		if best == nil || s.cheaper(now, m, best) {
			best = m
		}
	}
	return best
}

// cheaper reports whether unloading m costs less than unloading other.
func (s *Sched) cheaper(now time.Time, m, other *model) bool {
	if m.draining != other.draining {
		return m.draining
	}
	if s.isLastKept(m) != s.isLastKept(other) {
		return s.isLastKept(other)
	}
	if !s.policy.Demand {
		return m.lastUsed.Before(other.lastUsed)
	}
	return s.evictionCost(now, m) < s.evictionCost(now, other)
}

// copiedCostShare is the share of the eviction cost that is left if another runner has the model too: that serves most of the
// requests.
const copiedCostShare = 0.2

// evictionCost returns the decayed count of requests that unloading a model would affect.
func (s *Sched) evictionCost(now time.Time, m *model) float64 {
	count := m.demand.At(now, s.tune.HalfLife)
	if s.policy.Copies && s.copies[m.name] > 1 {
		count *= copiedCostShare
	}
	return count
}

// SetCopies sets how many runners have each model resident, this one included. It only improves choices: late or missing
// updates do no harm.
func (s *Sched) SetCopies(counts map[string]int) {
	s.copies = counts
}

// leastBusy returns the resident model with the fewest requests in progress, or nil.
func (s *Sched) leastBusy() *model {
	if s.unloadsHeld {
		return nil
	}
	var best *model
	for _, m := range s.held {
		if m.state != resident || m.lost || m.pinned || m.foreignRunning > 0 {
			continue
		}
		if best == nil || m.running < best.running {
			best = m
		}
	}
	return best
}

// anyDraining reports whether a model is being drained.
func (s *Sched) anyDraining() bool {
	for _, m := range s.held {
		if m.draining && m.state == resident {
			return true
		}
	}
	return false
}
