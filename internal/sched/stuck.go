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

// whyStuck returns what keeps the runner from making room for a model that it does not hold, empty while nothing does.
// A load waits for an unload that fails rather than for another: in an outage of the table service every unload fails, and
// tried on one model after the other they would leave nothing that can be served.
func (s *Sched) whyStuck() string {
	switch {
	case !s.known:
		return "the engine has not answered since this node took the runner over"
	case s.slots <= 0:
		return "the runner has no adapter slots"
	case s.free() > 0 || slices.ContainsFunc(s.held, (*model).going):
		return ""
	case slices.ContainsFunc(s.held, func(m *model) bool { return m.refused > 0 }):
		return "no adapter slot could be freed, since taking an adapter off the engine keeps failing"
	case slices.ContainsFunc(s.held, s.mayGo):
		return ""
	}
	return "no adapter slot may be freed, since an earlier owner of the runner may still use what is on it"
}

// going reports whether the model's unload is on its way and has not failed.
func (m *model) going() bool {
	return m.state == unloading && m.refused == 0
}

// mayGo reports whether a model may be unloaded, if only after its requests have ended.
func (s *Sched) mayGo(m *model) bool {
	held := m.state == resident || m.state == loading
	return held && !s.hold && !m.pinned && m.foreign == 0
}

// refuseStuck refuses attempts that would wait for what may never come: a slot on a runner that has been unable to free one
// for a while, a model whose own unload keeps failing, or one that an earlier owner may be unloading. They are answered while the caller can still act on it,
// not after the longest allowed request, and the entry tries another runner first.
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
	case m.state == barred && now.Sub(m.changed) >= stuckWait:
		return "an earlier owner of the runner may be taking the adapter off the engine"
	case (m.state == absent || m.refused > 0) && !s.stuck.IsZero() && now.Sub(s.stuck) >= stuckWait:
		return s.noRoom
	}
	return ""
}
