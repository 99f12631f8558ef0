package giver

import (
	"time"

	"damaskreach/internal/want"
)

// waiter is a request that waits for a load or for its turn.
type waiter struct {
	want.Want
	done  chan error
	gone  <-chan struct{} // closed once nobody waits any more
	since time.Time
	block *string // what holds it up
}

// before orders loads that wait: those that can still be on time go first, the earliest first; those that are late already
// follow, so that a burst does not make everything late that comes behind it.
func (w waiter) before(other waiter, now time.Time) int {
	late, otherLate := now.Sub(w.since) > w.Patience, now.Sub(other.since) > other.Patience
	if late != otherLate {
		if late {
			return 1
		}
		return -1
	}
	return w.since.Compare(other.since)
}

// left reports whether nobody waits any more.
func (w waiter) left() bool {
	select {
	case <-w.gone:
		return true
	default:
		return false
	}
}

// load is an adapter on its way to the engine.
type load struct {
	version int
	since   time.Time
	due     time.Time // when to look next
	warm    bool
	waited  time.Duration                    // from being asked for to its order
	block   string                           // what held it up last
	end     func(now time.Time, counts bool) // ends it at the flow of loads
	waiters []waiter
}

// finish ends the load at the flow of loads.
func (l *load) finish(counts bool) {
	if l.end != nil {
		l.end(time.Now(), counts && !l.warm)
	}
}
