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

// listFor bounds a list of all registrations; the store's adapter bounds each page.
const listFor = 4 * time.Second

// reading is what one reading of the store brought.
type reading struct {
	list  []rows.Row
	whole bool // all rows, not what changed
	heard bool // from another host and not from the store
	rev   int64
	cut   float64 // upstreams times seconds whose changes were more than one answer has; 0 where they were not
	err   error
}

// readTargets reads the store. What it says may be as of any moment since the reading began.
func (i *Intake) readTargets(ctx context.Context, began time.Time) error {
	asked := i.moment()
	r := await(i.askTargets(ctx, began), i.targetWake, i.passedTargets)
	if r.cut > 0 {
		i.tooMany = r.cut
	}
	if r.err != nil {
		return r.err
	}
	now := time.Now()
	if r.heard {
		i.takeTargets(r.list, true, r.rev, now)
		return nil
	}
	if !i.lost.IsZero() {
		i.Log.Info("store regained", zap.Duration("away", now.Sub(i.lost)))
	}
	i.lost = time.Time{}
	i.outage.note(began, i.away.Swap(false), i.Every())
	if r.rev >= i.targetAt.Load() {
		i.takeTargets(r.list, r.whole, r.rev, now)
		i.taken = began // what has changed while the store answered is in the next reading
	} else {
		i.Log.Info("reading not taken", zap.String("rows", i.Targets), zap.Int64("revision", r.rev), zap.Int64("taken", i.targetAt.Load()))
	}
	i.targetRead.Store(asked)
	i.Read()
	return nil
}

// askTargets asks the store for the registrations that have changed since the last that were taken, or for all of them.
func (i *Intake) askTargets(ctx context.Context, began time.Time) <-chan reading {
	after := i.targetAt.Load()
	since := began.Sub(i.taken)
	changes := float64(len(i.View().Targets)) * since.Seconds()
	whole := after == 0 || since > behind*i.Every() || i.tooMany > 0 && changes >= i.tooMany || i.copied.long(began, i.Every())
	done := make(chan reading, 1)
	go func() {
		r := reading{whole: whole}
		switch {
		case after == 0:
			r = i.first(ctx)
		case !whole:
			r = i.tail(ctx, after)
		}
		if errors.Is(r.err, table.ErrCompacted) {
			r.cut, r.whole = changes, true
		}
		if r.whole {
			listCtx, cancel := context.WithTimeout(ctx, listFor)
			defer cancel()
			r.list, r.rev, r.err = i.Table.List(listCtx, i.Targets)
		}
		if r.err != nil {
			r = i.orTold(ctx, after, r)
		}
		if older(after, r.rev) {
			r.cut = 0 // the changes are of another era, not too many
		}
		done <- r
	}()
	return done
}

// orTold returns all registrations as another host knows them in the newest era, where this host knows those of an older one and the store does not
// answer it: changes alone are passed on within an era, and it would get none.
func (i *Intake) orTold(ctx context.Context, after int64, failed reading) reading {
	newest := rows.NewRev(i.era.Load()-1, 0)
	if !older(after, newest) {
		return failed
	}
	list, rev, ok := i.Others(ctx, i.Targets)
	if !ok || older(rev, newest) {
		return failed
	}
	return reading{list: list, rev: rev, heard: true}
}

func (i *Intake) tail(ctx context.Context, after int64) (r reading) {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	r.list, r.rev, r.err = i.Table.Tail(ctx, i.Targets, after)
	return r
}

// await waits for a reading and takes what other hosts pass on meanwhile: a store that does not answer, or that waits for a change, would keep
// it for as long as a call may take.
func await(done <-chan reading, wake chan struct{}, take func() bool) reading {
	for woken := false; ; {
		select {
		case r := <-done:
			if woken {
				nudge(wake)
			}
			return r
		case <-wake:
			woken = !take()
		}
	}
}
