package loader

import (
	"context"
	"maps"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/intent"
	"damaskreach/internal/stats"
	"damaskreach/internal/stock"
	"damaskreach/internal/target"
)

// syncState fetches from the engine what it holds and reports whether it did.
func (d *driver) syncState(t target.Target) bool {
	if time.Since(d.reportedAt) < reportLag {
		return false
	}
	d.reportedAt = time.Now()
	ctx, cancel := context.WithTimeout(d.ctx, reportTimeout)
	defer cancel()
	s, err := d.loader.FetchState(ctx, change.Change{Target: t})
	if err != nil {
		d.loader.Log.Info("engine report failed", zap.String("target", d.id), zap.Error(err))
		return false
	}
	if s.Incarnation > 0 && s.Incarnation < t.Incarnation {
		return false
	}
	if s.Incarnation > d.born {
		d.born = s.Incarnation
	}
	d.sequence = s.Sequence
	d.held = maps.Clone(s.Adapters)
	if d.held == nil {
		d.held = map[string]int{}
	}
	d.models = map[string]bool{}
	for _, m := range s.Models {
		d.models[m] = true
	}
	d.restoreMemo()
	d.assumeUsed(time.Now())
	d.mergePending(s.Pending)
	d.known = true
	d.loader.Log.Info("engine known", zap.String("target", d.id), zap.Int64("born", d.born), zap.Int64("sequence", d.sequence),
		zap.Int("held", len(d.held)), zap.Int("pending", len(d.pending)), zap.Strings("models", s.Models))
	// An engine lists an adapter until the last request that uses it has ended, and then drops it.
	maps.DeleteFunc(d.unloading, func(a string, _ bool) bool { _, listed := d.held[a]; return !listed })
	d.updateEventInterval()
	d.publish()
	return true
}

// mergePending reconciles the loads in progress with a report: unknown ones were ordered by an earlier process, missing ones have
// ended. A load that replaces an older version uses the slot of that.
func (d *driver) mergePending(reported map[string]int) {
	now := time.Now()
	for a, l := range d.pending {
		if v, ok := d.held[a]; ok && (l.version == 0 || v >= l.version) {
			d.completeLoad(a, l, v)
			continue
		}
		if _, ok := reported[a]; !ok {
			d.failLoad(a, l, merry.Prepend(intent.ErrLoadFailed, "the engine no longer reports the load"))
		}
	}
	for a, v := range reported {
		if d.pending[a] == nil {
			d.pending[a] = &load{version: v, startedAt: now, nextPoll: now.Add(pollInterval)}
		}
		delete(d.held, a)
	}
}

func (d *driver) completeLoad(adapter string, l *load, version int) {
	delete(d.pending, adapter)
	l.finish(true)
	d.held[adapter] = version
	delete(d.unloading, adapter)
	d.cachedAt[adapter] = time.Now()
	d.markUsed([]string{adapter}, time.Now())
	took := time.Since(l.startedAt)
	from := "store"
	if l.warm {
		from = "engine"
	}
	d.loader.Stats.Time(stats.Loads, took, "from", from)
	blockedBy := l.blockedBy
	if blockedBy == "" {
		blockedBy = "nothing"
	}
	d.loader.Stats.Time(stats.LoadWaits, l.waited, "behind", blockedBy)
	if l.warm {
		d.warmLoadTime += time.Duration(loadTimeWeight * float64(took-d.warmLoadTime))
	} else {
		d.coldLoadTime += time.Duration(loadTimeWeight * float64(took-d.coldLoadTime))
	}
	d.loader.Log.Info("adapter loaded", zap.String("target", d.id), zap.String("adapter", adapter), zap.Int("version", version),
		zap.Bool("warm", l.warm), zap.Duration("took", took), zap.Duration("waited", l.waited), zap.String("behind", l.blockedBy), zap.Int64("sequence", d.sequence))
	d.publish()
	for _, w := range l.waiters {
		d.prompts.add(w)
	}
}

func (d *driver) failLoad(adapter string, l *load, err error) {
	delete(d.pending, adapter)
	l.finish(false)
	for _, w := range l.waiters {
		w.done <- err
	}
}

func (d *driver) publish() {
	held := maps.Clone(d.held)
	for a := range d.unloading {
		delete(held, a)
	}
	d.serving.Store(&held)
	d.loader.Publish(stock.Stock{ID: d.id, Incarnation: d.born, Sequence: d.sequence, Adapters: held, EventInterval: d.eventInterval, Recent: d.cachedNames()})
}

// updateEventInterval updates the engine's speed and reports whether it has changed.
func (d *driver) updateEventInterval() bool {
	event := d.prompts.eventInterval()
	if event == d.eventInterval {
		return false
	}
	d.loader.Log.Info("engine's speed", zap.String("target", d.id), zap.Duration("event", event), zap.Duration("before", d.eventInterval))
	d.eventInterval = event
	return true
}

// adoptVersions takes adapter versions from a registration as of the same order where this host does not know them.
func (d *driver) adoptVersions(t target.Target) {
	if t.Incarnation != d.born || t.Sequence != d.sequence {
		return
	}
	changed := false
	for a, v := range t.Adapters {
		if old, ok := d.held[a]; ok && old == 0 && v > 0 {
			d.held[a] = v
			changed = true
		}
	}
	if changed {
		d.publish()
	}
}
