package loader

import (
	"math"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
)

// minEvictIdle returns how long an adapter without known requests must be idle to be evicted. An unload that waits for a request
// blocks all other unloads on the engine until the request ends, and a driver that has just started does not know of all
// requests yet: hosts report their adapters at intervals.
func (d *driver) minEvictIdle(now time.Time) time.Duration {
	if unusedAfter := d.loader.UnusedAfter(); now.Sub(d.startedAt) < 2*unusedAfter {
		return unusedAfter
	}
	return evictIdleTime
}

// chooseVictim returns the adapter to evict for a wanted one and its idle time. There is none, with the largest idle time, if a
// slot is free or the wanted adapter replaces an older version in its slot.
func (d *driver) chooseVictim(wanted string, places int) (adapter string, idleTime time.Duration) {
	if _, replaces := d.held[wanted]; replaces || len(d.held)+len(d.pending) < places {
		return "", math.MaxInt64
	}
	return d.leastRecentlyUsed()
}

// evict unloads an adapter to free its slot; it reports whether the slot is free now.
func (d *driver) evict(t target.Target, victim string, idleTime time.Duration, w waiter) bool {
	model, short := splitAdapter(victim)
	e := d.issueOrder(t, change.Change{Model: model, Adapter: short})
	switch e {
	case effect.Done:
		// The slot is free at once; the engine has counted the order.
		d.sequence++
		delete(d.held, victim)
	case effect.Accepted:
		// A request started to use it just now. The engine accepts no other unload until that ends.
		d.unloading[victim] = true
		d.known = false
	default:
		return false
	}
	d.loader.Stats.Add(stats.Unloads, 1, "effect", e.String())
	d.loader.Log.Info("adapter unloaded", zap.String("target", d.id), zap.String("adapter", victim), zap.Duration("idle", idleTime),
		zap.String("for", w.Adapter), zap.Stringer("effect", e))
	d.publish()
	return e == effect.Done
}

// leastRecentlyUsed returns the adapter that was idle for the longest and its idle time; none if requests use all of them.
func (d *driver) leastRecentlyUsed() (adapter string, idleTime time.Duration) {
	inUse := d.prompts.usedAdapters()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	idleTime = -1
	for a := range d.held {
		if d.unloading[a] || inUse[a] {
			continue
		}
		if since := now.Sub(d.lastUsed[a]); since > idleTime {
			adapter, idleTime = a, since
		}
	}
	for a := range d.lastUsed {
		if _, ok := d.held[a]; !ok && now.Sub(d.lastUsed[a]) > time.Minute {
			delete(d.lastUsed, a)
		}
	}
	return adapter, idleTime
}
