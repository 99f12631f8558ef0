package giver

import (
	"math"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/model"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
	"damaskreach/internal/want"
)

// poll looks at the loads that should be complete by now: an order that holds already is answered as done and costs
// a hundredth of a report.
func (d *desk) poll(t target.Target) {
	now := time.Now()
	for adapter, l := range d.pending {
		if now.Before(l.due) || !d.known {
			continue
		}
		if now.Sub(l.since) > giveUp {
			d.drop(adapter, l, merry.Prepend(want.ErrFailed, "the load does not end"))
			d.known = false
			continue
		}
		model, short := name(adapter)
		e := d.look(t, change.Change{Load: true, Model: model, Adapter: short, Version: l.version})
		switch e {
		case effect.Done:
			d.complete(adapter, l, l.version)
		default:
			l.due = time.Now().Add(again)
		}
	}
}

// ensureModel has the base model loaded; it reports false while there is none.
func (d *desk) ensureModel(t target.Target) bool {
	models := d.pool(t).Models
	if len(d.models) > 0 || len(models) == 0 {
		return len(models) > 0
	}
	if time.Now().Before(d.model) || !d.known {
		return false
	}
	m := models[0]
	order := change.Change{Load: true, Model: m.Name}
	d.model = time.Now().Add(again)
	e := effect.Unknown
	switch {
	case !d.modelAt.IsZero():
		e = d.look(t, order)
		d.model = time.Now().Add(10 * again)
	case t.AtHand(m.Name) || d.g.beginModel(d.pool(t).LoadRate):
		d.counted = !t.AtHand(m.Name)
		d.modelAt = time.Now()
		e = d.give(t, order)
		if e != effect.Accepted && e != effect.Done {
			d.endModel(m, false)
		}
	}
	if e != effect.Done {
		return false
	}
	d.models[m.Name] = true
	d.endModel(m, true)
	return true
}

// endModel ends the load of a base model under way.
func (d *desk) endModel(m model.Model, done bool) {
	if d.modelAt.IsZero() {
		return
	}
	took := time.Since(d.modelAt)
	d.g.Log.Info("base model load ended", zap.String("target", d.id), zap.String("model", m.Name), zap.Bool("done", done),
		zap.Bool("counted", d.counted), zap.Duration("took", took))
	d.g.Stats.Time(stats.Loads, took, "from", "model")
	d.modelAt = time.Time{}
	if !d.counted {
		return
	}
	if !done {
		took = 0
	}
	d.g.endModel(took, m)
}

// serve starts the loads that wait, as far as places and transit allow.
func (d *desk) serve(t target.Target) {
	queue := d.queue
	now := time.Now()
	d.lane.sort(queue, now)
	d.queue = nil
	for i, w := range queue {
		if !d.known {
			d.queue = append(d.queue, queue[i:]...)
			break
		}
		if !d.start(t, w) {
			d.queue = append(d.queue, w)
		}
	}
	d.expire()
}

// start starts one load or answers it; it reports false where the load must wait.
func (d *desk) start(t target.Target, w waiter) bool {
	if v, ok := d.held[w.Adapter]; w.Adapter == "" || ok && !d.leaving[w.Adapter] && (w.Version == 0 || v >= w.Version) {
		d.lane.add(w)
		return true
	}
	if l := d.pending[w.Adapter]; l != nil && l.version >= w.Version {
		l.waiters = append(l.waiters, w)
		return true
	}
	if len(d.pending) >= transit || d.leaving[w.Adapter] {
		*w.block = "transit"
		return false
	}
	m, ok := d.pool(t).Model(w.Model)
	if !ok {
		w.done <- merry.Prependf(want.ErrFailed, "the configuration has no model %q", w.Model)
		return true
	}
	now := time.Now()
	victim, idle := d.victim(d.pool(t).Room(m))
	if w.Spread && (idle < unused || !d.atHand(w.Adapter) && !d.g.Flow.Spare(now)) {
		// Nobody waits for it. Where every place is in use, one more engine for a busy adapter costs another adapter its only
		// one, and where loads queue up, a request its time.
		w.done <- want.ErrBusy
		return true
	}
	if idle < d.guard(now) {
		*w.block = "places"
		return false
	}
	end, ok := func(time.Time, bool) {}, true
	if !d.atHand(w.Adapter) {
		// Only what is not at hand at the engine comes from the store.
		end, ok = d.g.Flow.Begin(d.id, w.since.Add(w.Patience-d.cold), time.Now())
	}
	if !ok {
		*w.block = "flow"
		return false
	}
	if victim != "" && !d.evict(t, victim, idle, w) || !d.begin(t, w, end) {
		end(time.Now(), false)
		return false
	}
	return true
}

// begin gives the order of a load; it reports false where the engine did not take it.
func (d *desk) begin(t target.Target, w waiter, end func(now time.Time, counts bool)) bool {
	model, short := name(w.Adapter)
	started := time.Now()
	e := d.give(t, change.Change{Load: true, Model: model, Adapter: short, Version: w.Version})
	switch e {
	case effect.Done:
		d.held[w.Adapter] = w.Version
		d.tell()
		d.lane.add(w)
		end(time.Now(), false)
		return true
	case effect.Accepted:
		l := &load{
			version: w.Version, since: started, waited: started.Sub(w.since), block: *w.block, warm: d.atHand(w.Adapter),
			end: end, waiters: []waiter{w},
		}
		l.due = started.Add(d.expected(l.warm))
		d.pending[w.Adapter] = l
		delete(d.held, w.Adapter)
		d.tell()
		return true
	}
	return false
}

// expected returns when a load that starts now is worth a look.
func (d *desk) expected(warm bool) time.Duration {
	if warm {
		return d.warm * 9 / 10
	}
	return d.cold * 9 / 10
}

// guard returns how long an adapter that no request is known to use must not have been in use to be unloaded. An unload that waits for
// a request keeps the engine from any other until that has ended. Hosts tell which adapters their requests use; a desk that was
// opened a moment ago has not heard of all yet.
func (d *desk) guard(now time.Time) time.Duration {
	if heard := d.g.Unused(); now.Sub(d.opened) < 2*heard {
		return heard
	}
	return settled
}

// victim returns the adapter that must go for one more to be loaded, and for how long it was not in use; none, and for ever, where
// a place is free.
func (d *desk) victim(places int) (adapter string, idle time.Duration) {
	if len(d.held)+len(d.pending) < places {
		return "", math.MaxInt64
	}
	return d.oldest()
}

// evict unloads an adapter to free its place; it reports false where the place is not free yet.
func (d *desk) evict(t target.Target, victim string, idle time.Duration, w waiter) bool {
	model, short := name(victim)
	e := d.give(t, change.Change{Model: model, Adapter: short})
	switch e {
	case effect.Done:
		// The place is free at once, and the engine has counted the order.
		d.sequence++
		delete(d.held, victim)
	case effect.Accepted:
		// A request came to use it just now. The engine takes no other unload until that has ended.
		d.leaving[victim] = true
		d.known = false
	default:
		return false
	}
	d.g.Stats.Add(stats.Unloads, 1, "effect", e.String())
	d.g.Log.Info("adapter unloaded", zap.String("target", d.id), zap.String("adapter", victim), zap.Duration("idle", idle),
		zap.String("for", w.Adapter), zap.Stringer("effect", e))
	d.tell()
	return e == effect.Done
}

// oldest returns the adapter that was not used for the longest time, and for how long; none where requests use all of them.
func (d *desk) oldest() (adapter string, idle time.Duration) {
	using := d.lane.uses()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	idle = -1
	for a := range d.held {
		if d.leaving[a] || using[a] {
			continue
		}
		if since := now.Sub(d.used[a]); since > idle {
			adapter, idle = a, since
		}
	}
	for a := range d.used {
		if _, ok := d.held[a]; !ok && now.Sub(d.used[a]) > time.Minute {
			delete(d.used, a)
		}
	}
	return adapter, idle
}
