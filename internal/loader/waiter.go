package loader

import (
	"cmp"
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/fair"
	"damaskreach/internal/intent"
)

// waiter is a request that waits for a load or a turn.
type waiter struct {
	intent.Intent
	done      chan error
	canceled  <-chan struct{} // closed once the caller has left
	queuedAt  time.Time
	blockedBy *string // reason for the wait
}

// newWaiter returns a waiter that is canceled once ctx ends.
func newWaiter(ctx context.Context, w intent.Intent) waiter {
	return waiter{Intent: w, done: make(chan error, 1), canceled: ctx.Done(), queuedAt: time.Now(), blockedBy: new(string)}
}

// wait returns the result of the driver or queue that w was given to; queueCtx ends with that driver or queue.
func (w waiter) wait(ctx, queueCtx context.Context) error {
	select {
	case err := <-w.done:
		return err
	case <-queueCtx.Done():
		return merry.Wrap(intent.ErrNotOwner)
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "waiting for a load or a turn")
	}
}

// compare orders waiters. Answers whose callers have a part of them go first: refused, they are lost, while other requests can be
// retried. Next are requests that can still be on time, so that a burst does not delay everything behind it. Within each, the more
// urgent go first, then teams below their share, then the earliest start; late requests keep the order of arrival.
func (w waiter) compare(other waiter, shares *fair.Fair, now time.Time) int {
	return cmp.Or(
		trueFirst(w.Streaming, other.Streaming),
		trueFirst(!w.isLate(now), !other.isLate(now)),
		cmp.Compare(w.Priority, other.Priority),
		cmp.Compare(shares.Ahead(w.Team), shares.Ahead(other.Team)),
		w.startBy(now).Compare(other.startBy(now)),
	)
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// startBy returns when a request must start to be on time; for a late one, when it was queued.
func (w waiter) startBy(now time.Time) time.Time {
	if w.isLate(now) {
		return w.queuedAt
	}
	return w.queuedAt.Add(w.TimeLeft)
}

// isLate reports whether the answer can no longer be on time.
func (w waiter) isLate(now time.Time) bool {
	return now.Sub(w.queuedAt) > w.TimeLeft
}

// exceedsLimit reports whether a further wait would exceed what is of use to the caller.
func (w waiter) exceedsLimit(now time.Time, wait time.Duration) bool {
	return w.MaxLoadWait > 0 && now.Sub(w.queuedAt)+wait > w.MaxLoadWait
}

// isCanceled reports whether the caller has left.
func (w waiter) isCanceled() bool {
	select {
	case <-w.canceled:
		return true
	default:
		return false
	}
}

// load is an adapter load in progress.
type load struct {
	version   int
	startedAt time.Time
	nextPoll  time.Time
	warm      bool
	waited    time.Duration                    // from the request to the order
	blockedBy string                           // last reason for the wait
	release   func(now time.Time, counts bool) // ends the load in the flow of loads; nil for one of an earlier process
	waiters   []waiter
}

// finish ends the load in the flow of loads.
func (l *load) finish(counts bool) {
	if l.release != nil {
		l.release(time.Now(), counts && !l.warm)
	}
}
