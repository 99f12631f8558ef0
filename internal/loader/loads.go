package loader

import (
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/intent"
	"damaskreach/internal/target"
)

// pollLoads checks loads that should be complete by now. It repeats their orders, which costs the engine a hundredth of a
// report.
func (d *driver) pollLoads(t target.Target) {
	now := time.Now()
	for adapter, l := range d.pending {
		if now.Before(l.nextPoll) || !d.known {
			continue
		}
		if now.Sub(l.startedAt) > loadTimeout {
			d.failLoad(adapter, l, merry.Prepend(intent.ErrLoadFailed, "the load timed out"))
			d.known = false
			continue
		}
		model, short := splitAdapter(adapter)
		e := d.repeatOrder(t, change.Change{Load: true, Model: model, Adapter: short, Version: l.version})
		switch e {
		case effect.Done:
			d.completeLoad(adapter, l, l.version)
		default:
			l.nextPoll = time.Now().Add(pollInterval)
		}
	}
}

// startLoads starts queued loads as far as adapter slots and maxPendingLoads allow.
func (d *driver) startLoads(t target.Target) {
	queue := d.loadQueue
	now := time.Now()
	d.prompts.sortWaiters(queue, now)
	d.loadQueue = nil
	for i, w := range queue {
		if !d.known {
			d.loadQueue = append(d.loadQueue, queue[i:]...)
			break
		}
		if !d.startLoad(t, w) {
			d.loadQueue = append(d.loadQueue, w)
		}
	}
	d.expireQueue()
}

// startLoad starts or answers one load; it reports false if the load must wait.
func (d *driver) startLoad(t target.Target, w waiter) bool {
	if v, ok := d.held[w.Adapter]; w.Adapter == "" || ok && !d.unloading[w.Adapter] && (w.Version == 0 || v >= w.Version) {
		d.prompts.add(w)
		return true
	}
	l := d.pending[w.Adapter]
	if l != nil && l.version >= w.Version {
		l.waiters = append(l.waiters, w)
		return true
	}
	if l != nil || len(d.pending) >= maxPendingLoads || d.unloading[w.Adapter] {
		*w.blockedBy = "transit"
		return false
	}
	m, ok := d.pool(t).Model(w.Model)
	if !ok {
		w.done <- merry.Prependf(intent.ErrLoadFailed, "the configuration has no model %q", w.Model)
		return true
	}
	now := time.Now()
	victim, idleTime := d.chooseVictim(w.Adapter, d.pool(t).AdapterCapacity(m))
	if w.Background && (idleTime < spreadIdleTime || !d.isCached(w.Adapter) && !d.loader.Flow.HasSpare(now)) {
		// No request waits for it. With all adapter slots in use, one more copy of a busy adapter would evict the only copy of
		// another, and while loads queue up it would delay a request.
		w.done <- intent.ErrLoadQueueFull
		return true
	}
	if idleTime < d.minEvictIdle(now) {
		*w.blockedBy = "places"
		return false
	}
	end, ok := func(time.Time, bool) {}, true
	if !d.isCached(w.Adapter) {
		// Only adapters that are not cached come from the weight store.
		end, ok = d.loader.Flow.Begin(d.id, w.queuedAt.Add(w.TimeLeft-d.coldLoadTime), time.Now())
	}
	if !ok {
		*w.blockedBy = "flow"
		return false
	}
	if victim != "" && !d.evict(t, victim, idleTime, w) || !d.orderLoad(t, w, end) {
		end(time.Now(), false)
		return false
	}
	return true
}

// orderLoad sends the order of a load; it reports false if the engine did not accept it.
func (d *driver) orderLoad(t target.Target, w waiter, end func(now time.Time, counts bool)) bool {
	model, short := splitAdapter(w.Adapter)
	started := time.Now()
	e := d.issueOrder(t, change.Change{Load: true, Model: model, Adapter: short, Version: w.Version})
	switch e {
	case effect.Done:
		d.held[w.Adapter] = w.Version
		d.publish()
		d.prompts.add(w)
		end(time.Now(), false)
		return true
	case effect.Accepted:
		l := &load{
			version: w.Version, startedAt: started, waited: started.Sub(w.queuedAt), blockedBy: *w.blockedBy, warm: d.isCached(w.Adapter),
			release: end, waiters: []waiter{w},
		}
		l.nextPoll = started.Add(d.expectedLoadTime(l.warm))
		d.pending[w.Adapter] = l
		delete(d.held, w.Adapter)
		d.publish()
		return true
	}
	return false
}

// expectedLoadTime returns how long after its start a load is first polled.
func (d *driver) expectedLoadTime(warm bool) time.Duration {
	if warm {
		return d.warmLoadTime * 9 / 10
	}
	return d.coldLoadTime * 9 / 10
}
