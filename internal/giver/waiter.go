package giver

import (
	"cmp"
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/fair"
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

// newWaiter returns a waiter that counts as gone once ctx ends.
func newWaiter(ctx context.Context, w want.Want) waiter {
	return waiter{Want: w, done: make(chan error, 1), gone: ctx.Done(), since: time.Now(), block: new(string)}
}

// wait returns what a waiter is told by the desk or lane that it was given to, or why it is told nothing any more; served ends with that desk or lane.
func (w waiter) wait(ctx, served context.Context) error {
	select {
	case err := <-w.done:
		return err
	case <-served.Done():
		return merry.Wrap(want.ErrElsewhere)
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "waiting for a load or a turn")
	}
}

// before orders those that wait. Answers of which callers have a part go first: refused, they are lost, where others can come back.
// Then those that can still be on time; those that are late already follow, so that a burst does not make everything late that comes
// behind it. Among each, the more urgent go first, then those of teams that had less than their share, then those that must be on time the
// soonest, and of those that are late the ones that have waited longest.
func (w waiter) before(other waiter, shares *fair.Fair, now time.Time) int {
	return cmp.Or(
		first(w.Begun, other.Begun),
		first(!w.late(now), !other.late(now)),
		cmp.Compare(w.Rank, other.Rank),
		cmp.Compare(shares.Ahead(w.Team), shares.Ahead(other.Team)),
		w.due(now).Compare(other.due(now)),
	)
}

// first orders what has a property before what has not.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// due returns when a request must begin to be on time; of one that is late, when it asked.
func (w waiter) due(now time.Time) time.Time {
	if w.late(now) {
		return w.since
	}
	return w.since.Add(w.Patience)
}

// late reports whether the answer cannot be on time any more.
func (w waiter) late(now time.Time) bool {
	return now.Sub(w.since) > w.Patience
}

// hopeless reports whether a wait that goes on for so long would be of no use.
func (w waiter) hopeless(now time.Time, wait time.Duration) bool {
	return w.Limit > 0 && now.Sub(w.since)+wait > w.Limit
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
