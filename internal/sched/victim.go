package sched

import "time"

// victim returns the idle model that is cheapest to lose, or nil.
func (s *Sched) victim(now time.Time) *model {
	if s.hold {
		return nil
	}
	var best *model
	for _, m := range s.held {
		if !m.idle() || m.waiting > 0 && !m.drain {
			continue
		}
		if best == nil || s.cheaper(now, m, best) {
			best = m
		}
	}
	return best
}

// cheaper reports whether losing m costs less than losing other.
func (s *Sched) cheaper(now time.Time, m, other *model) bool {
	if m.drain != other.drain {
		return m.drain
	}
	if s.lastKept(m) != s.lastKept(other) {
		return s.lastKept(other)
	}
	if !s.policy.Demand {
		return m.used.Before(other.used)
	}
	return s.worth(now, m) < s.worth(now, other)
}

// copyShare is what is left of a model's worth where another runner has it too: the other copy serves most of
// its requests meanwhile.
const copyShare = 0.2

// worth returns the decayed count of requests that losing a model would hurt.
func (s *Sched) worth(now time.Time, m *model) float64 {
	count := m.demand.At(now, s.tune.HalfLife)
	if s.policy.Copies && s.copies[m.name] > 1 {
		count *= copyShare
	}
	return count
}

// Copies tells how many runners have each model resident, this one included, as the digests show it.
// It only makes better choices: nothing goes wrong where it is late or never called.
func (s *Sched) Copies(counts map[string]int) {
	s.copies = counts
}

// leastUsed returns the model in use whose requests in progress are fewest, or nil.
func (s *Sched) leastUsed() *model {
	if s.hold {
		return nil
	}
	var best *model
	for _, m := range s.held {
		if m.state != resident || m.lost || m.pinned || m.foreign > 0 {
			continue
		}
		if best == nil || m.running < best.running {
			best = m
		}
	}
	return best
}

// draining reports whether a model is already being drained.
func (s *Sched) draining() bool {
	for _, m := range s.held {
		if m.drain && m.state == resident {
			return true
		}
	}
	return false
}
