package sched

import (
	"slices"
	"time"

	"damaskreach/pkg/refuse"
)

const (
	// stuckTimeout is how long a runner may be unable to free a slot before requests that need one are refused. Holds after a
	// takeover from an owner known to be gone end within that time.
	stuckTimeout    = 15 * time.Second
	stuckRetryAfter = 5 * time.Second // retry delay of those requests; the end is not known here

	// unansweredTimeout is the same for a model whose unload may still arrive. The owner clears that within two report lags, one
	// for earlier owners and one for the order, unless one of them sends nothing.
	unansweredTimeout = 30 * time.Second
)

// updateStuck records since when no slot can be freed, and since when models are blocked: that may happen before the scheduler
// has seen any time.
func (s *Sched) updateStuck(now time.Time) {
	for _, m := range s.held {
		if m.state == blocked && m.changedAt.IsZero() {
			m.changedAt = now
		}
	}
	s.stuckReason = s.stuckCause()
	if s.stuckReason == "" {
		s.stuckSince = time.Time{}
	} else if s.stuckSince.IsZero() {
		s.stuckSince = now
	}
}

// isStuck reports whether other nodes should send requests that need a slot elsewhere. Once an unload that was not sent may be
// retried, it takes such a request to do so; without one the runner would stay stuck after the outage.
func (s *Sched) isStuck(now time.Time) bool {
	return !s.stuckSince.IsZero() && (s.unsentUnloads == 0 || now.Before(s.noUnloadBefore))
}

// stuckCause returns why the runner cannot make room for another model; empty if it can. After an unload was sent and failed,
// loads wait for that rather than for another unload: the engine is likely to fail that too, and models that are being unloaded
// serve no requests.
func (s *Sched) stuckCause() string {
	switch {
	case !s.known:
		return "the engine has not answered since this node took the runner over"
	case s.slots <= 0:
		return "the runner has no adapter slots"
	case s.freeSlots() > 0:
		return ""
	case s.unsentUnloads > 0:
		return "no adapter slot could be freed, since the order to take an adapter off the engine could not be announced"
	case s.unloadInProgress():
		return ""
	case slices.ContainsFunc(s.held, func(m *model) bool { return m.unloadFailures > 0 }):
		return "no adapter slot could be freed, since taking an adapter off the engine keeps failing"
	case slices.ContainsFunc(s.held, s.mayUnload):
		return ""
	}
	return "no adapter slot may be freed, since an earlier owner of the runner may still use what is on it"
}

// unloadInProgress reports whether an unload is in progress that has not failed before.
func (s *Sched) unloadInProgress() bool {
	return slices.ContainsFunc(s.held, func(m *model) bool { return m.state == unloading && m.unloadFailures == 0 })
}

// mayUnload reports whether a model may be unloaded, if need be after its requests have ended.
func (s *Sched) mayUnload(m *model) bool {
	held := m.state == resident || m.state == loading
	return held && !s.unloadsHeld && !m.pinned && m.foreignRunning == 0
}

// refuseStuck refuses attempts that might wait for ever: for a slot on a runner that cannot free one, for a model whose unload keeps
// failing, or for one that an order may still unload. Callers get the refusal while they can still act on it, and the entry node
// tries another runner first.
func (s *Sched) refuseStuck(now time.Time) {
	s.updateStuck(now)
	for k := 0; k < len(s.queue); {
		why := s.stuckRefusal(now, s.queue[k].model)
		if why == "" {
			k++
			continue
		}
		s.refuse(s.queue[k], refuse.NoRoom, why, stuckRetryAfter)
	}
}

// stuckRefusal returns why an attempt for a model must not wait any longer; empty if it may.
func (s *Sched) stuckRefusal(now time.Time, m *model) string {
	switch {
	case m == nil:
		return ""
	case m.state == blocked && now.Sub(m.changedAt) >= unansweredTimeout:
		return "an earlier owner of the runner may be taking the adapter off the engine"
	case m.unloadUnanswered && now.Sub(m.unansweredSince) >= unansweredTimeout:
		return "an order to take the adapter off the engine has no answer and may still arrive"
	case s.unloadInProgress(): // perhaps a retry; it ends within seconds
		return ""
	case (m.state == absent || m.unloadFailures > 0) && !s.stuckSince.IsZero() && now.Sub(s.stuckSince) >= stuckTimeout:
		return s.stuckReason
	}
	return ""
}
