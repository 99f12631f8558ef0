package sched

import (
	"slices"
	"time"

	"damaskreach/pkg/refuse"
)

const (
	// stuckWait is how long a runner may be unable to make room before requests that need it are refused. Holds that end by
	// themselves, after a takeover from an owner known to be gone, last no longer.
	stuckWait  = 15 * time.Second
	stuckRetry = 5 * time.Second // when to come back after that; what ends it is not known here

	// lateWait is the same for a model that an order may still take off the engine. The owner lifts that by itself within
	// two lags of the engine's reports, once for earlier owners and once for the order, unless one of them stays unheard of.
	lateWait = 30 * time.Second
)

// watchRoom notes since when no slot can be freed, whatever requests do, and since when models are barred, which they are
// before the scheduler has seen any time.
func (s *Sched) watchRoom(now time.Time) {
	for _, m := range s.held {
		if m.state == barred && m.changed.IsZero() {
			m.changed = now
		}
	}
	s.noRoom = s.whyStuck()
	if s.noRoom == "" {
		s.stuck = time.Time{}
	} else if s.stuck.IsZero() {
		s.stuck = now
	}
}

// blocked reports whether homes should send requests that need a slot elsewhere. Once an unload that could not be announced
// may be tried again it takes such a request to do so; passed over, the runner would stay as it is after the outage.
func (s *Sched) blocked(now time.Time) bool {
	return !s.stuck.IsZero() && (s.unsent == 0 || now.Before(s.unloads))
}

// whyStuck returns what keeps the runner from making room for a model that it does not hold, empty while nothing does.
// A load waits for an unload that was sent and failed rather than for another: an engine that fails one is likely to fail
// the next, and models in the middle of an unload serve nobody.
func (s *Sched) whyStuck() string {
	switch {
	case !s.known:
		return "the engine has not answered since this node took the runner over"
	case s.slots <= 0:
		return "the runner has no adapter slots"
	case s.free() > 0:
		return ""
	case s.unsent > 0:
		return "no adapter slot could be freed, since the order to take an adapter off the engine could not be announced"
	case s.going():
		return ""
	case slices.ContainsFunc(s.held, func(m *model) bool { return m.refused > 0 }):
		return "no adapter slot could be freed, since taking an adapter off the engine keeps failing"
	case slices.ContainsFunc(s.held, s.mayGo):
		return ""
	}
	return "no adapter slot may be freed, since an earlier owner of the runner may still use what is on it"
}

// going reports whether an unload is on its way that has not failed before.
func (s *Sched) going() bool {
	return slices.ContainsFunc(s.held, func(m *model) bool { return m.state == unloading && m.refused == 0 })
}

// mayGo reports whether a model may be unloaded, if only after its requests have ended.
func (s *Sched) mayGo(m *model) bool {
	held := m.state == resident || m.state == loading
	return held && !s.hold && !m.pinned && m.foreign == 0
}

// refuseStuck refuses attempts that would wait for what may never come: a slot on a runner that has been unable to free one
// for a while, a model whose own unload keeps failing, or one that an order may still take off the engine. They are answered
// while the caller can still act on it, not after the longest allowed request, and the entry tries another runner first.
func (s *Sched) refuseStuck(now time.Time) {
	s.watchRoom(now)
	for k := 0; k < len(s.queue); {
		why := s.stuckFor(now, s.queue[k].model)
		if why == "" {
			k++
			continue
		}
		s.refuse(s.queue[k], refuse.NoRoom, why, stuckRetry)
	}
}

// stuckFor returns why an attempt for a model is not to wait any longer, empty where it may.
func (s *Sched) stuckFor(now time.Time, m *model) string {
	switch {
	case m == nil:
		return ""
	case m.state == barred && now.Sub(m.changed) >= lateWait:
		return "an earlier owner of the runner may be taking the adapter off the engine"
	case m.late && now.Sub(m.since) >= lateWait:
		return "an order to take the adapter off the engine has no answer and may still arrive"
	case s.going(): // if only tried again; it ends within seconds
		return ""
	case (m.state == absent || m.refused > 0) && !s.stuck.IsZero() && now.Sub(s.stuck) >= stuckWait:
		return s.noRoom
	}
	return ""
}
