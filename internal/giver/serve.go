package giver

import (
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
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
	l := d.pending[w.Adapter]
	if l != nil && l.version >= w.Version {
		l.waiters = append(l.waiters, w)
		return true
	}
	if l != nil || len(d.pending) >= transit || d.leaving[w.Adapter] {
		*w.block = "transit"
		return false
	}
	m, ok := d.pool(t).Model(w.Model)
	if !ok {
		w.done <- merry.Prependf(want.ErrFailed, "the configuration has no model %q", w.Model)
		return true
	}
	now := time.Now()
	victim, idle := d.victim(w.Adapter, d.pool(t).Room(m))
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
