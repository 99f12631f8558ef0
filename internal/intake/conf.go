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

// RunConf follows the operators' rows until ctx ends.
func (i *Intake) RunConf(ctx context.Context) {
	for ctx.Err() == nil {
		if i.confAt.Load() > 0 {
			i.passedConf()
			i.rest(ctx, i.confWake, i.passedConf)
		}
		r := await(i.askConf(ctx), i.confWake, i.passedConf)
		if r.err != nil {
			i.Log.Debug("configuration not read", zap.Error(r.err))
			i.pause(ctx, i.confWake, i.passedConf)
			continue
		}
		if r.rev >= i.confAt.Load() {
			i.takeConf(r.list, r.whole, r.rev)
			i.endConfWake()
		} else {
			i.Log.Info("reading not taken", zap.String("rows", i.Conf), zap.Int64("revision", r.rev), zap.Int64("taken", i.confAt.Load()))
			i.pause(ctx, i.confWake, i.passedConf)
		}
		if i.confRead.Swap(i.moment()) == 0 {
			go i.takeFromOthers(ctx)
		}
	}
}

// endConfWake drops a wake that came while the operators' rows were read, unless it was for a change that they still lack. It would end the next
// rest at once, and the host would wait at the store for a change although another one reads.
func (i *Intake) endConfWake() {
	select {
	case <-i.confWake:
	default:
	}
	if i.confTold.Load() > i.confAt.Load() { // looked at last, for a wake may have come since and been dropped
		nudge(i.confWake)
	}
}

// passedConf takes operators' rows that another host has passed on; it reports false where there are none.
func (i *Intake) passedConf() bool {
	list, rev, ok := i.Passed(i.Conf, i.confAt.Load())
	if ok {
		i.takeConf(list, false, rev)
	}
	return ok
}

// takeConf takes operators' rows up to a revision. Where all were read, others are told only of those that changed: a host that was told
// of older ones as if they were new would wait for a change that it cannot find.
func (i *Intake) takeConf(list []rows.Row, whole bool, rev int64) {
	i.entered(rev)
	after, learnt := i.confAt.Load(), time.Now()
	if after == 0 {
		// A version that is there when a host starts may have been named long ago: requests have no time left on the one before.
		after, learnt = feed.Whole, time.Time{}
	}
	var news []rows.Row
	for _, row := range list {
		if !whole || row.Rev > after {
			i.takeConfRow(row, learnt)
			news = append(news, row)
		}
	}
	if older(after, rev) {
		// All rows came, and none is ever taken back: whoever is in the era before gets them with the next message, not by a reading.
		after = feed.Start
	}
	i.Keep(i.Conf, after, rev, news)
	i.confAt.Store(rev)
	if len(news) > 0 {
		i.confMark.Store(newest(news))
		i.Changed()
	}
}

// newest returns the revision of the newest of rows. That of the answer that brought them differs from host to host: one that was answered a
// moment sooner would take another's for a change that it lacks, rely on no reading of it, and wait at the store for what never comes.
func newest(list []rows.Row) (rev int64) {
	for _, row := range list {
		rev = max(rev, row.Rev)
	}
	return rev
}

// askConf reads the operators' rows that have changed since the last that were taken, or all of them.
func (i *Intake) askConf(ctx context.Context) <-chan reading {
	rev := i.confAt.Load()
	done := make(chan reading, 1)
	go func() { done <- i.readConf(ctx, rev) }()
	return done
}

// readConf returns the operators' rows that changed after a revision, or all of them.
func (i *Intake) readConf(ctx context.Context, rev int64) (r reading) {
	if rev > 0 {
		r.list, r.rev, r.err = i.Table.Tail(ctx, i.Conf, rev)
		if !errors.Is(r.err, table.ErrCompacted) {
			return r
		}
		i.Log.Info("history of the configuration is gone; reading all of it", zap.Int64("after", rev))
	}
	listCtx, cancel := context.WithTimeout(ctx, confFor)
	defer cancel()
	r.whole = true
	r.list, r.rev, r.err = i.Table.List(listCtx, i.Conf)
	return r
}

// takeConfRow takes one of the operators' rows; learnt is since when its version of an adapter may be known, zero where that is long.
func (i *Intake) takeConfRow(row rows.Row, learnt time.Time) {
	if row.Gone {
		return
	}
	i.operatorsMu.Lock()
	defer i.operatorsMu.Unlock()
	i.takeRules(row)
	i.takeVersion(row, learnt)
}

// takeRules takes a configuration that is newer than the one in force: a later version, or the same in a later row. It needs the lock.
func (i *Intake) takeRules(row rows.Row) {
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
		i.Log.Info("older configuration not applied", zap.Int64("version", r.Version), zap.Int64("known", known), zap.Int64("revision", row.Rev))
		return
	}
	i.swap(func(v view.View) view.View { return v.WithRules(r) })
	i.operators[row.Key] = row
	i.Applied(row)
	i.Log.Info("configuration applied", zap.Int64("version", r.Version), zap.Int64("revision", row.Rev),
		zap.Int("bytes", len(row.Value)), zap.Int("hosts", len(r.Routes)), zap.Int("pools", len(r.Pools)))
}

// takeVersion takes the version of an adapter that operators have named. It needs the lock.
func (i *Intake) takeVersion(row rows.Row, learnt time.Time) {
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
	i.swap(func(v view.View) view.View { return v.WithVersion(adapter, version, learnt) })
	i.Log.Info("version named", zap.String("adapter", adapter), zap.Int("version", version), zap.Int64("revision", row.Rev))
}
