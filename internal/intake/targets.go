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

// RunTargets keeps the upstreams' registrations up to date until ctx ends.
func (i *Intake) RunTargets(ctx context.Context) {
	for ctx.Err() == nil {
		i.applyForwardedTargets()
		began := time.Now()
		if err := i.readTargets(ctx, began); err != nil {
			i.Log.Debug("registrations not read", zap.Error(err))
			i.storeDown.Store(true)
			if i.failingSince.IsZero() {
				i.failingSince = began
				age, _ := i.Age()
				i.Log.Info("store lost", zap.Duration("age", age), zap.Error(err))
			}
			i.waitToRetry(ctx, i.targetWake, i.applyForwardedTargets)
			continue
		}
		i.waitForNextReading(ctx, began.Add(i.NextReadDelay(time.Since(began))))
	}
}

// applyForwardedTargets applies forwarded registrations; it reports false where there are none. They don't wait for a reading: each host
// that forwards them would add a read interval to the time for which a draining upstream gets new requests.
func (i *Intake) applyForwardedTargets() bool {
	after := i.targetAt.Load()
	if after == 0 {
		return false
	}
	list, rev, ok := i.Forwarded(i.Targets, after)
	if !ok {
		return false
	}
	i.applyTargets(list, false, rev, time.Now())
	return true
}

// applyTargets applies registrations: those that changed since the last applied revision, up to rev, or all that exist at rev.
func (i *Intake) applyTargets(list []rows.Row, whole bool, rev int64, now time.Time) {
	i.observeEra(rev)
	changes := i.mergeTargets(list, whole, rev, now)
	after := i.targetAt.Load()
	if after == 0 {
		after = feed.Whole
	}
	i.RecordChanges(i.Targets, after, rev, changes)
	i.targetAt.Store(rev)
	i.appliedAt = now
	if len(changes) > 0 {
		i.targetMark.Store(newestRev(changes))
		i.OnChange()
	}
}

// mergeTargets updates the set of upstreams. One that vanished is removed, unless the store was down a moment ago: its registration may
// have expired with the store, and it gets time to register again. It returns the changed rows, oldest first, also for upstreams missing
// from a list of all rows: hosts that leave reading to this one learn of the removal from nothing else.
func (i *Intake) mergeTargets(list []rows.Row, whole bool, rev int64, now time.Time) (changes []rows.Row) {
	targets := maps.Clone(i.View().Targets)
	if targets == nil {
		targets = map[string]target.Target{}
	}
	firstInEra := whole && olderEra(i.targetAt.Load(), rev)
	if firstInEra || whole && i.heldBack.expired(now, i.ReadInterval()) {
		i.heldBack.reset(now)
	}
	present := map[string]bool{}
	for _, row := range list {
		id := row.Key[len(i.Targets):]
		if row.Gone {
			i.heldBack.rewritten(id, row.Rev)
			changes = append(changes, row)
			i.markMissing(targets, id, now)
			continue
		}
		t, err := i.decode(targets[id], row)
		if err != nil {
			i.warnUnreadable(id, row.Rev, err)
			if _, known := targets[id]; known {
				changes = append(changes, row)
			}
			i.markMissing(targets, id, now)
			continue
		}
		present[id] = true
		if i.holdBack(targets[id], t, row, firstInEra) {
			continue
		}
		i.storeRaw(id, row)
		delete(i.missing, id)
		if i.logChange(targets[id], t) {
			changes = append(changes, row)
		}
		targets[id] = t
	}
	if whole {
		i.heldBack.retain(present)
	}
	for id := range targets {
		if _, waits := i.missing[id]; whole && !present[id] && !waits {
			changes = append(changes, i.goneRow(id, rev))
			i.markMissing(targets, id, now)
		}
	}
	if !now.Before(i.outage.graceEnd()) {
		for id, since := range i.missing {
			changes = append(changes, i.goneRow(id, rev))
			delete(i.missing, id)
			delete(targets, id)
			i.Log.Info("upstream gone", zap.String("target", id), zap.Duration("missing", now.Sub(since)))
		}
	}
	i.pruneRaw(targets)
	i.updateView(func(v view.View) view.View { return v.WithTargets(targets) })
	slices.SortStableFunc(changes, func(a, b rows.Row) int { return cmp.Compare(a.Rev, b.Rev) })
	return changes
}

// decode returns the upstream of a registration. Most registrations are rewritten unchanged, and decoding thousands at each reading would
// take most of a host's processor time.
func (i *Intake) decode(old target.Target, row rows.Row) (target.Target, error) {
	if old.ID != "" && bytes.Equal(i.rawValue(old.ID), row.Value) {
		return old, nil
	}
	return i.Target(row)
}

// goneRow returns the row that reports an upstream's registration as deleted at a revision.
func (i *Intake) goneRow(id string, rev int64) rows.Row {
	return rows.Row{Key: i.Targets + id, Rev: rev, Gone: true}
}

func (i *Intake) markMissing(targets map[string]target.Target, id string, now time.Time) {
	t, ok := targets[id]
	if !ok {
		return
	}
	if now.Before(i.outage.graceEnd()) && !t.Draining {
		if _, ok := i.missing[id]; !ok {
			i.missing[id] = now
		}
		return
	}
	delete(targets, id)
	i.Log.Info("upstream gone", zap.String("target", id))
}

// warnUnreadable logs the first registration of an upstream that cannot be read.
func (i *Intake) warnUnreadable(id string, rev int64, err error) {
	if i.unreadable[id] == 0 {
		i.Log.Warn("registration cannot be read", zap.String("target", id), zap.Error(err))
	}
	i.unreadable[id] = rev
}

// logChange logs that an upstream is new, has restarted, or has begun or stopped draining. It reports whether one of these changed, or
// its address, group or number of models, which are not logged.
func (i *Intake) logChange(old, t target.Target) bool {
	switch {
	case old.ID == "":
		i.Log.Info("upstream found", zap.String("target", t.ID), zap.String("group", t.Group), zap.String("addr", t.Addr),
			zap.String("centre", t.Centre), zap.String("build", t.Build), zap.Int64("born", t.Incarnation), zap.Bool("draining", t.Draining))
	case old.Incarnation != t.Incarnation:
		i.Log.Info("upstream restarted", zap.String("target", t.ID), zap.String("build", t.Build), zap.Int64("born", t.Incarnation))
	case old.Draining != t.Draining:
		i.Log.Info("upstream leaves", zap.String("target", t.ID), zap.Bool("draining", t.Draining))
	default:
		return old.Addr != t.Addr || old.Group != t.Group || len(old.Models) != len(t.Models)
	}
	return true
}
