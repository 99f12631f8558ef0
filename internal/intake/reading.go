package intake

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

// maxTailIntervals is the age of the last reading, in read intervals, above which all registrations are listed at once: each changes about
// once an interval, so that the changes would outnumber the list.
const maxTailIntervals = 2

// listTimeout bounds a list of all registrations; the store's adapter bounds each page.
const listTimeout = 4 * time.Second

// reading is the result of one reading.
type reading struct {
	list     []rows.Row
	whole    bool // all rows, not only changes
	fromHost bool // from another host, not from the store
	rev      int64
	overflow float64 // upstreams times seconds whose changes exceeded one answer; 0 where they fitted
	err      error
}

// readTargets reads registrations and applies them. The answer may reflect any moment since the reading began.
func (i *Intake) readTargets(ctx context.Context, began time.Time) error {
	asked := i.clockNanos()
	r := awaitReading(i.startTargetsReading(ctx, began), i.targetWake, i.applyForwardedTargets)
	if r.overflow > 0 {
		i.tailOverflow = r.overflow
	}
	if r.err != nil {
		return r.err
	}
	now := time.Now()
	if r.fromHost {
		i.applyTargets(r.list, true, r.rev, now)
		return nil
	}
	if !i.failingSince.IsZero() {
		i.Log.Info("store regained", zap.Duration("away", now.Sub(i.failingSince)))
	}
	i.failingSince = time.Time{}
	i.outage.observeRead(began, i.storeDown.Swap(false), i.ReadInterval())
	if r.rev >= i.targetAt.Load() {
		i.applyTargets(r.list, r.whole, r.rev, now)
		i.appliedAt = began // the next reading includes what changed while the store answered
	} else {
		i.Log.Info("reading not taken", zap.String("rows", i.Targets), zap.Int64("revision", r.rev), zap.Int64("taken", i.targetAt.Load()))
	}
	i.targetRead.Store(asked)
	i.OnRead()
	return nil
}

// startTargetsReading starts a reading of the registrations that changed since the last applied revision, or of all of them.
func (i *Intake) startTargetsReading(ctx context.Context, began time.Time) <-chan reading {
	after := i.targetAt.Load()
	since := began.Sub(i.appliedAt)
	changes := float64(len(i.View().Targets)) * since.Seconds()
	whole := after == 0 || since > maxTailIntervals*i.ReadInterval() ||
		i.tailOverflow > 0 && changes >= i.tailOverflow || i.heldBack.expired(began, i.ReadInterval())
	done := make(chan reading, 1)
	go func() {
		r := reading{whole: whole}
		switch {
		case after == 0:
			r = i.readFirst(ctx)
		case !whole:
			r = i.readTail(ctx, after)
		}
		if errors.Is(r.err, table.ErrCompacted) {
			r.overflow, r.whole = changes, true
		}
		if r.whole {
			listCtx, cancel := context.WithTimeout(ctx, listTimeout)
			defer cancel()
			r.list, r.rev, r.err = i.Table.List(listCtx, i.Targets)
		}
		if r.err != nil {
			r = i.orFromHost(ctx, after, r)
		}
		if olderEra(after, r.rev) {
			r.overflow = 0 // the store has changed its era; the answer was not too long
		}
		done <- r
	}()
	return done
}

// orFromHost fetches all registrations from a host in the latest era, where the store does not answer and this host is in an older era:
// changes are forwarded only within an era, so this host would get none.
func (i *Intake) orFromHost(ctx context.Context, after int64, failed reading) reading {
	newest := rows.NewRev(i.era.Load()-1, 0)
	if !olderEra(after, newest) {
		return failed
	}
	list, rev, ok := i.FetchFromHost(ctx, i.Targets)
	if !ok || olderEra(rev, newest) {
		return failed
	}
	return reading{list: list, rev: rev, fromHost: true}
}

func (i *Intake) readTail(ctx context.Context, after int64) (r reading) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.list, r.rev, r.err = i.Table.Tail(ctx, i.Targets, after)
	return r
}

// awaitReading waits for a reading and applies forwarded changes meanwhile: a store that is silent, or waits for a change, would delay them
// until the call's timeout.
func awaitReading(done <-chan reading, wake chan struct{}, applyForwarded func() bool) reading {
	for woken := false; ; {
		select {
		case r := <-done:
			if woken {
				notify(wake)
			}
			return r
		case <-wake:
			woken = !applyForwarded()
		}
	}
}
