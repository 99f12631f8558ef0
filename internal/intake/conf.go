package intake

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/feed"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/view"
)

// RunConf keeps the operators' rows up to date until ctx ends.
func (i *Intake) RunConf(ctx context.Context) {
	for ctx.Err() == nil {
		if i.confAt.Load() > 0 {
			i.applyForwardedConf()
			i.waitWhileDelegated(ctx, i.confWake, i.applyForwardedConf)
		}
		r := awaitReading(i.startConfReading(ctx), i.confWake, i.applyForwardedConf)
		if r.err != nil {
			i.Log.Debug("configuration not read", zap.Error(r.err))
			i.waitToRetry(ctx, i.confWake, i.applyForwardedConf)
			continue
		}
		if r.rev >= i.confAt.Load() {
			i.applyConf(r.list, r.whole, r.rev)
			i.clearConfWake()
		} else {
			i.Log.Info("reading not taken", zap.String("rows", i.Conf), zap.Int64("revision", r.rev), zap.Int64("taken", i.confAt.Load()))
			i.waitToRetry(ctx, i.confWake, i.applyForwardedConf)
		}
		if i.confRead.Swap(i.clockNanos()) == 0 {
			go i.applyConfFromHosts(ctx)
		}
	}
}

// clearConfWake drops a wake that arrived during a reading, unless it reports a change that the reading lacks. A stale wake would end the
// next delegation at once and make this host wait for a change at the store although another one reads.
func (i *Intake) clearConfWake() {
	select {
	case <-i.confWake:
	default:
	}
	if i.confReported.Load() > i.confAt.Load() { // checked last: a wake sent meanwhile may have been dropped
		notify(i.confWake)
	}
}

// applyForwardedConf applies operators' rows that another host has forwarded; it reports false where there are none.
func (i *Intake) applyForwardedConf() bool {
	list, rev, ok := i.Forwarded(i.Conf, i.confAt.Load())
	if ok {
		i.applyConf(list, false, rev)
	}
	return ok
}

// applyConf applies operators' rows up to a revision. After a list of all rows, only the changed ones are recorded for other hosts: a host
// that got older rows as new would wait for a change that does not exist.
func (i *Intake) applyConf(list []rows.Row, whole bool, rev int64) {
	i.observeEra(rev)
	after, learnt := i.confAt.Load(), time.Now()
	if after == 0 {
		// A version found at startup may have been named long ago: requests get no grace on the version before.
		after, learnt = feed.Whole, time.Time{}
	}
	var changes []rows.Row
	for _, row := range list {
		if !whole || row.Rev > after {
			i.applyConfRow(row, learnt)
			i.compareStored(row)
			changes = append(changes, row)
		}
	}
	if olderEra(after, rev) {
		// All rows were read and none is ever deleted, so hosts still in the previous era get them by message, without a reading.
		after = feed.Start
	}
	i.RecordChanges(i.Conf, after, rev, changes)
	i.confAt.Store(rev)
	if len(changes) > 0 {
		i.confMark.Store(newestRev(changes))
		i.OnChange()
	}
}

// newestRev returns the highest revision of the rows. The revision of the answer differs between hosts: one with a lower answer would
// think that it lacks another's change, stop relying on that host and wait at the store for a change that never comes.
func newestRev(list []rows.Row) (rev int64) {
	for _, row := range list {
		rev = max(rev, row.Rev)
	}
	return rev
}

// startConfReading starts a reading of the operators' rows that changed since the last applied revision, or of all of them.
func (i *Intake) startConfReading(ctx context.Context) <-chan reading {
	rev := i.confAt.Load()
	done := make(chan reading, 1)
	go func() { done <- i.readConf(ctx, rev) }()
	return done
}

// readConf returns the operators' rows that changed after a revision, or all of them where the store has no history back to it.
func (i *Intake) readConf(ctx context.Context, rev int64) (r reading) {
	if rev > 0 {
		r.list, r.rev, r.err = i.Table.Tail(ctx, i.Conf, rev)
		if !errors.Is(r.err, table.ErrCompacted) {
			return r
		}
		i.Log.Info("history of the configuration is gone; reading all of it", zap.Int64("after", rev))
	}
	listCtx, cancel := context.WithTimeout(ctx, confListTimeout)
	defer cancel()
	r.whole = true
	r.list, r.rev, r.err = i.Table.List(listCtx, i.Conf)
	return r
}

// applyConfRow applies one of the operators' rows; learnt is when an adapter version in it became known, zero for long ago.
func (i *Intake) applyConfRow(row rows.Row, learnt time.Time) {
	if row.Gone {
		return
	}
	i.operatorsMu.Lock()
	defer i.operatorsMu.Unlock()
	i.applyRules(row)
	i.applyVersion(row, learnt)
}

// applyRules applies a configuration with a higher version, or the same version in a later row. It needs the lock.
func (i *Intake) applyRules(row rows.Row) {
	r, ok, err := i.Rules(row)
	if err != nil {
		i.Log.Warn("configuration cannot be read", zap.String("row", row.Key), zap.Int64("revision", row.Rev), zap.Error(err))
		return
	}
	known := i.View().Rules.Version
	if !ok || r.Version == known && row.Rev <= i.operators[row.Key].Rev {
		return
	}
	if r.Version < known {
		i.Log.Info("older configuration not applied", zap.Int64("version", r.Version), zap.Int64("known", known),
			zap.Int64("revision", row.Rev))
		return
	}
	i.updateView(func(v view.View) view.View { return v.WithRules(r) })
	i.operators[row.Key] = row
	i.OnConfigApplied(row)
	i.Log.Info("configuration applied", zap.Int64("version", r.Version), zap.Int64("revision", row.Rev),
		zap.Int("bytes", len(row.Value)), zap.Int("hosts", len(r.Routes)), zap.Int("pools", len(r.Pools)))
}

// applyVersion applies the version of an adapter that operators have named. It needs the lock.
func (i *Intake) applyVersion(row rows.Row, learnt time.Time) {
	adapter, version, ok, err := i.Version(row)
	if err != nil {
		i.Log.Warn("version of an adapter cannot be read", zap.String("row", row.Key), zap.Error(err))
		return
	}
	if !ok {
		return
	}
	if version >= i.View().Versions[adapter] {
		i.operators[row.Key] = row
	}
	i.updateView(func(v view.View) view.View { return v.WithVersion(adapter, version, learnt) })
	i.Log.Info("version named", zap.String("adapter", adapter), zap.Int("version", version), zap.Int64("revision", row.Rev))
}
