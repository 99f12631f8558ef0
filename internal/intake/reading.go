package intake

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

// behind is how many pauses between two readings the last one must be past for a list of all registrations to be asked for at once:
// each of them changes about once a pause, so that the changes would be more than the list.
const behind = 2

// reading is what one reading of the registrations brought.
type reading struct {
	list  []rows.Row
	whole bool // all registrations, not what changed
	rev   int64
	err   error
}

// readTargets reads the store. What it says may be as of any moment since the reading began. Changes that other hosts pass on meanwhile are
// taken at once: a store that answers nothing would keep them waiting for as long as a call may take.
func (i *Intake) readTargets(ctx context.Context, began time.Time) error {
	asked := i.moment()
	r := i.awaitTargets(i.askTargets(ctx, began))
	if r.err != nil {
		return r.err
	}
	now := time.Now()
	if !i.lost.IsZero() {
		i.Log.Info("store regained", zap.Duration("away", now.Sub(i.lost)))
	}
	i.lost = time.Time{}
	i.outage.note(began, i.away.Swap(false), i.Every())
	if r.rev >= i.targetAt.Load() {
		i.takeTargets(r.list, r.whole, r.rev, now)
	}
	i.targetRead.Store(asked)
	return nil
}

// askTargets asks the store for the registrations that have changed since the last that were taken, or for all of them.
func (i *Intake) askTargets(ctx context.Context, began time.Time) <-chan reading {
	after := i.targetAt.Load()
	whole := after == 0 || began.Sub(i.taken) > behind*i.Every()
	done := make(chan reading, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, callFor)
		defer cancel()
		r := reading{whole: whole}
		if !whole {
			r.list, r.rev, r.err = i.Table.Tail(callCtx, i.Targets, after)
			r.whole = errors.Is(r.err, table.ErrCompacted)
		}
		if r.whole {
			r.list, r.rev, r.err = i.Table.List(callCtx, i.Targets)
		}
		done <- r
	}()
	return done
}

// awaitTargets waits for a reading and takes what other hosts pass on meanwhile.
func (i *Intake) awaitTargets(done <-chan reading) reading {
	for woken := false; ; {
		select {
		case r := <-done:
			if woken {
				nudge(i.targetWake)
			}
			return r
		case <-i.targetWake:
			woken = !i.passedTargets()
		}
	}
}
