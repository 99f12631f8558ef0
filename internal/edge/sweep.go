package edge

import (
	"context"
	"time"

	"damaskreach/internal/turns"
)

const (
	// sweepEvery is how often idle connections and records of what is gone are dropped.
	sweepEvery = time.Second
	// idleSlack is added to the time that a caller may leave its connection idle, for the way of its next request.
	idleSlack = 500 * time.Millisecond
)

func (e *Edge) sweep(ctx context.Context) {
	for range turns.Every(ctx, sweepEvery) {
		v, now := e.intake.View(), time.Now()
		e.uplink.Sweep()
		if limit := v.Rules.IdleFor; limit > 0 {
			e.conns.CloseIdle(limit + idleSlack)
		}
		e.holds.Forget(v.Targets, now)
		e.pick.Forget(v.Targets, now)
		left := func(id string) bool {
			_, ok := v.Targets[id]
			return !ok
		}
		e.ration.Forget(left)
		e.flight.Forget(left)
		e.orders.Range(func(id, _ any) bool {
			if left(id.(string)) {
				e.orders.Delete(id)
			}
			return true
		})
		e.avoid.Forget(left, now)
		e.roster.Forget(left)
		e.speeds.Forget(left, now)
		gone := func(ip string) bool { return !e.live(ip) }
		e.feeds.Forget(gone)
		e.readers.Forget(gone)
	}
}
