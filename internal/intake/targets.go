package intake

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/feed"
	"damaskreach/internal/rows"
	"damaskreach/internal/target"
	"damaskreach/internal/view"
)

// RunTargets follows the upstreams' registrations until ctx ends.
func (i *Intake) RunTargets(ctx context.Context) {
	for ctx.Err() == nil {
		i.passedTargets()
		began := time.Now()
		if err := i.readTargets(ctx, began); err != nil {
			i.Log.Debug("registrations not read", zap.Error(err))
			i.away.Store(true)
			if i.lost.IsZero() {
				i.lost = began
				age, _ := i.Age()
				i.Log.Info("store lost", zap.Duration("age", age), zap.Error(err))
			}
			i.pause(ctx, i.targetWake, i.passedTargets)
			continue
		}
		i.untilNext(ctx, began.Add(i.Again(time.Since(began))))
	}
}

// passedTargets takes registrations that another host has passed on; it reports false where there are none. They wait for no reading: each
// host on their way would add the pause between two readings to the time for which an upstream that leaves gets new work.
func (i *Intake) passedTargets() bool {
	after := i.targetAt.Load()
	if after == 0 {
		return false
	}
	list, rev, ok := i.Passed(i.Targets, after)
	if !ok {
		return false
	}
	i.takeTargets(list, false, rev, time.Now())
	return true
}

// takeTargets takes registrations that changed since the last that were taken, up to a revision, or all that there are at that revision.
func (i *Intake) takeTargets(list []rows.Row, whole bool, rev int64, now time.Time) {
	i.entered(rev)
	news := i.apply(list, whole, rev, now)
	after := i.targetAt.Load()
	if after == 0 {
		after = feed.Whole
	}
	i.Keep(i.Targets, after, rev, news)
	i.targetAt.Store(rev)
	i.taken = now
	if len(news) > 0 {
		i.targetMark.Store(newest(news))
		i.Changed()
	}
}

// apply works out which upstreams there are. One that vanished is gone, unless the store was away a moment ago: then its
// registration may have lapsed with the store, and it gets the time in which it registers again. It returns the rows that say what
// changed, oldest first, also where that shows in what a list of all rows lacks: hosts that let this one read learn it from nothing else.
func (i *Intake) apply(list []rows.Row, whole bool, rev int64, now time.Time) (news []rows.Row) {
	targets := maps.Clone(i.View().Targets)
	if targets == nil {
		targets = map[string]target.Target{}
	}
	first := whole && older(i.targetAt.Load(), rev)
	if first || whole && i.copied.long(now, i.Every()) {
		i.copied.begin(now)
	}
	present := map[string]bool{}
	for _, row := range list {
		id := row.Key[len(i.Targets):]
		if row.Gone {
			i.copied.written(id, row.Rev)
			news = append(news, row)
			i.miss(targets, id, now)
			continue
		}
		t, err := i.decode(targets[id], row)
		if err != nil {
			i.warnBad(id, row.Rev, err)
			if _, known := targets[id]; known {
				news = append(news, row)
			}
			i.miss(targets, id, now)
			continue
		}
		present[id] = true
		if i.holdBack(targets[id], t, row, first) {
			continue
		}
		i.keepRaw(id, row)
		delete(i.missing, id)
		if i.logChange(targets[id], t) {
			news = append(news, row)
		}
		targets[id] = t
	}
	if whole {
		i.copied.keep(present)
	}
	for id := range targets {
		if _, waits := i.missing[id]; whole && !present[id] && !waits {
			news = append(news, i.lack(id, rev))
			i.miss(targets, id, now)
		}
	}
	if !now.Before(i.outage.ends()) {
		for id, since := range i.missing {
			news = append(news, i.lack(id, rev))
			delete(i.missing, id)
			delete(targets, id)
			i.Log.Info("upstream gone", zap.String("target", id), zap.Duration("missing", now.Sub(since)))
		}
	}
	i.dropRaw(targets)
	i.swap(func(v view.View) view.View { return v.WithTargets(targets) })
	slices.SortStableFunc(news, func(a, b rows.Row) int { return cmp.Compare(a.Rev, b.Rev) })
	return news
}

// decode returns what a registration says. Most are written again as they were, and decoding thousands with each reading would be most of
// what a host does.
func (i *Intake) decode(old target.Target, row rows.Row) (target.Target, error) {
	if old.ID != "" && bytes.Equal(i.rawOf(old.ID), row.Value) {
		return old, nil
	}
	return i.Target(row)
}

// lack returns the row that says that an upstream has no registration at a revision.
func (i *Intake) lack(id string, rev int64) rows.Row {
	return rows.Row{Key: i.Targets + id, Rev: rev, Gone: true}
}

func (i *Intake) miss(targets map[string]target.Target, id string, now time.Time) {
	t, ok := targets[id]
	if !ok {
		return
	}
	if now.Before(i.outage.ends()) && !t.Draining {
		if _, ok := i.missing[id]; !ok {
			i.missing[id] = now
		}
		return
	}
	delete(targets, id)
	i.Log.Info("upstream gone", zap.String("target", id))
}

// warnBad says once for each revision that a registration cannot be read.
func (i *Intake) warnBad(id string, rev int64, err error) {
	if i.bad[id] == 0 {
		i.Log.Warn("registration cannot be read", zap.String("target", id), zap.Error(err))
	}
	i.bad[id] = rev
}

// logChange says what is new about an upstream; it reports false where that is nothing but counts.
func (i *Intake) logChange(old, t target.Target) bool {
	switch {
	case old.ID == "":
		i.Log.Info("upstream found", zap.String("target", t.ID), zap.String("group", t.Group), zap.String("addr", t.Addr),
			zap.String("centre", t.Centre), zap.Int64("born", t.Incarnation), zap.Bool("draining", t.Draining))
	case old.Incarnation != t.Incarnation:
		i.Log.Info("upstream restarted", zap.String("target", t.ID), zap.Int64("born", t.Incarnation))
	case old.Draining != t.Draining:
		i.Log.Info("upstream leaves", zap.String("target", t.ID), zap.Bool("draining", t.Draining))
	default:
		return old.Addr != t.Addr || old.Group != t.Group || len(old.Models) != len(t.Models)
	}
	return true
}
