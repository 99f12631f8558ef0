package giver

import (
	"context"
	"maps"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/stats"
	"damaskreach/internal/stock"
	"damaskreach/internal/target"
	"damaskreach/internal/want"
)

// sync learns from the engine what it holds.
func (d *desk) sync(t target.Target) bool {
	if time.Since(d.asked) < reportLag {
		return false
	}
	d.asked = time.Now()
	ctx, cancel := context.WithTimeout(d.ctx, askFor)
	defer cancel()
	s, err := d.g.Ask(ctx, change.Change{Target: t})
	if err != nil {
		d.g.Log.Info("engine's report failed", zap.String("target", d.id), zap.Error(err))
		return false
	}
	if s.Born > 0 && s.Born < t.Born {
		return false
	}
	if s.Born > d.born {
		d.born = s.Born
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
	d.recall()
	d.assume(time.Now())
	d.merge(s.Pending)
	d.known = true
	d.g.Log.Info("engine known", zap.String("target", d.id), zap.Int64("born", d.born), zap.Int64("sequence", d.sequence),
		zap.Int("held", len(d.held)), zap.Int("pending", len(d.pending)), zap.Strings("models", s.Models))
	d.leaving = map[string]bool{}
	d.measure()
	d.tell()
	return true
}

// merge takes the loads under way from a report: new ones were ordered by an earlier process, others have ended. One that replaces an older
// version has the place of that.
func (d *desk) merge(reported map[string]int) {
	now := time.Now()
	for a, l := range d.pending {
		if v, ok := d.held[a]; ok && (l.version == 0 || v >= l.version) {
			d.complete(a, l, v)
			continue
		}
		if _, ok := reported[a]; !ok {
			d.drop(a, l, merry.Prepend(want.ErrFailed, "the load is gone"))
		}
	}
	for a, v := range reported {
		if d.pending[a] == nil {
			d.pending[a] = &load{version: v, since: now, due: now.Add(again)}
		}
		delete(d.held, a)
	}
}

func (d *desk) complete(adapter string, l *load, version int) {
	delete(d.pending, adapter)
	l.finish(true)
	d.held[adapter] = version
	delete(d.leaving, adapter)
	d.recent[adapter] = time.Now()
	d.touch([]string{adapter}, time.Now())
	took := time.Since(l.since)
	from := "store"
	if l.warm {
		from = "engine"
	}
	d.g.Stats.Time(stats.Loads, took, "from", from)
	behind := l.block
	if behind == "" {
		behind = "nothing"
	}
	d.g.Stats.Time(stats.LoadWaits, l.waited, "behind", behind)
	if l.warm {
		d.warm += time.Duration(weight * float64(took-d.warm))
	} else {
		d.cold += time.Duration(weight * float64(took-d.cold))
	}
	d.g.Log.Info("adapter loaded", zap.String("target", d.id), zap.String("adapter", adapter), zap.Int("version", version),
		zap.Bool("warm", l.warm), zap.Duration("took", took), zap.Duration("waited", l.waited), zap.String("behind", l.block), zap.Int64("sequence", d.sequence))
	d.tell()
	for _, w := range l.waiters {
		d.lane.add(w)
	}
}

func (d *desk) drop(adapter string, l *load, err error) {
	delete(d.pending, adapter)
	l.finish(false)
	for _, w := range l.waiters {
		w.done <- err
	}
}

func (d *desk) tell() {
	held := maps.Clone(d.held)
	for a := range d.leaving {
		delete(held, a)
	}
	d.ready.Store(&held)
	d.g.Tell(stock.Stock{ID: d.id, Born: d.born, Sequence: d.sequence, Adapters: held, Event: d.event, Recent: d.names()})
}

// measure takes how fast the engine is now, and reports whether that has changed.
func (d *desk) measure() bool {
	event := d.lane.event()
	if event == d.event {
		return false
	}
	d.g.Log.Info("engine's speed", zap.String("target", d.id), zap.Duration("event", event), zap.Duration("before", d.event))
	d.event = event
	return true
}

// adopt takes versions that a registration tells and this host did not know, and loads that it shows as complete.
func (d *desk) adopt(t target.Target) {
	if t.Born != d.born || t.Sequence != d.sequence {
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
		d.tell()
	}
}
