package tenure

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
)

// yield gives up the engines that this host holds and cannot reach, where others can; it reports false where some are left that it has to give up. The
// store renews the lease of such a host, and its engines would load nothing until it has found its way again.
//
// Others order an engine that was given up once the time between orders of two hosts has passed since they saw that. So this host orders nothing there from
// before it says so, until it knows that its claim was replaced: an answer that is lost may belong to a write that is carried out later.
func (t *Tenure) yield(ctx context.Context) bool {
	edits := t.yields()
	if len(edits) == 0 {
		return true
	}
	return t.write(ctx, "engines given up", strconv.Itoa(len(edits)), edits...)
}

// yields returns the rows by which this host gives engines up now.
func (t *Tenure) yields() (edits []rows.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Yields == nil || !t.renewed || t.outdated() {
		return nil
	}
	for id, o := range t.claimed() {
		if !t.yielded[id] && !t.Yields(id) {
			continue
		}
		if len(edits) == mostEntries-1 {
			break
		}
		t.yielded[id] = true
		next := ownership{IP: t.IP, Epoch: o.Epoch, Fence: t.next(o.rev), Freed: t.start, Idle: t.idle(id, o)}
		t.Log.Info("engine to be given up", zap.String("target", id), zap.Int64("fence", o.Fence), zap.Int64("revision", o.rev))
		edits = append(edits, rows.Row{Key: ownPrefix + id, Value: encode(next), Rev: o.rev})
	}
	return edits
}

// idle returns how long this host has given an engine no order.
func (t *Tenure) idle(id string, o owned) time.Duration {
	last := o.since
	if at, ok := t.Ordered(id); ok {
		last = max(last, at)
	}
	return max(0, t.Clock()-last)
}

// able reports whether another host reaches engines, as far as is known.
func (t *Tenure) able(ip string) bool {
	return t.Able == nil || t.Able(ip)
}
