package edge

import (
	"context"
	"time"

	"damaskreach/internal/conns"
	"damaskreach/internal/ticker"
)

const (
	// sweepInterval is the time between sweeps of idle connections and of records of removed upstreams and hosts.
	sweepInterval = time.Second
	// idleSlack is added to the time that a caller may leave its connection idle, for its next request to arrive.
	idleSlack = 500 * time.Millisecond
)

// checkGivenUp counts upstreams that end under requests that were given up. It is apart from sweep since it may dial upstreams that do not answer.
func (e *Edge) checkGivenUp(ctx context.Context) {
	for range ticker.Every(ctx, sweepInterval) {
		e.guard.CheckGivenUp(e.intake.View().Targets, e.avoid.Leaving)
	}
}

func (e *Edge) sweep(ctx context.Context) {
	for range ticker.Every(ctx, sweepInterval) {
		v, now := e.intake.View(), time.Now()
		e.uplink.Sweep()
		if limit := v.Rules.IdleFor; limit > 0 {
			for _, c := range []*conns.Conns{&e.conns, &e.lookups, &e.probes, &e.scrapes} {
				c.CloseIdle(limit + idleSlack)
			}
		}
		e.observeBuilds()
		e.holds.Forget(v.Targets, now)
		e.pick.Forget(v.Targets, now)
		left := func(id string) bool {
			_, ok := v.Targets[id]
			return !ok
		}
		e.ration.Forget(left)
		e.flight.Forget(left)
		e.lastOrders.Range(func(id, _ any) bool {
			if left(id.(string)) {
				e.lastOrders.Delete(id)
			}
			return true
		})
		e.avoid.Forget(left, now)
		e.roster.Forget(left)
		e.speeds.Forget(left, now)
		gone := func(ip string) bool { return !e.isAlive(ip) }
		e.feeds.Forget(gone)
		e.readers.Forget(gone)
	}
}
