package giver

import (
	"math"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
)

// guard returns how long an adapter that no request is known to use must not have been in use to be unloaded. An unload that waits for
// a request keeps the engine from any other until that has ended. Hosts tell which adapters their requests use; a desk that was
// opened a moment ago has not heard of all yet.
func (d *desk) guard(now time.Time) time.Duration {
	if heard := d.g.Unused(); now.Sub(d.opened) < 2*heard {
		return heard
	}
	return settled
}

// victim returns the adapter that must go for a wanted one to be loaded, and for how long it was not in use; none, and for ever, where
// a place is free, or the wanted one replaces its older version and takes the place of that.
func (d *desk) victim(wanted string, places int) (adapter string, idle time.Duration) {
	if _, replaces := d.held[wanted]; replaces || len(d.held)+len(d.pending) < places {
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
