package edge

import (
	"context"
	"time"

	"damaskreach/internal/conns"
	"damaskreach/internal/target"
	"damaskreach/internal/ticker"
)

const (
	// sweepInterval is the time between sweeps of idle connections and of records of removed upstreams and hosts.
	sweepInterval = time.Second
	// watchInterval is the time between two looks at the idle connections that were in use within watchTime. Each samplePeriod of them, those that were in use
	// within longWatchTime are looked at, and what runs where is sampled.
	watchInterval = 50 * time.Millisecond
	watchTime     = 250 * time.Millisecond
	longWatchTime = 1300 * time.Millisecond
	samplePeriod  = 4
	// idleSlack is added to the time that a caller may leave its connection idle, for its next request to arrive.
	idleSlack = 500 * time.Millisecond
)

// checkEnded counts upstreams that end under requests that were given up, or without anybody's notice. It is apart from sweep since it may dial upstreams that do not answer.
func (e *Edge) checkEnded(ctx context.Context) {
	for range ticker.Every(ctx, sweepInterval) {
		targets := e.intake.View().Targets
		e.guard.CheckReplaced(targets, e.avoid.Leaving)
		e.guard.CheckGivenUp(targets, e.avoid.Leaving)
	}
}

// watchUpstreams notices upstreams that end behind their answers, and records what runs where.
func (e *Edge) watchUpstreams(ctx context.Context) {
	n := 0
	for range ticker.Every(ctx, watchInterval) {
		start, within := time.Now(), watchTime
		if n++; n%samplePeriod == 0 {
			e.guard.Sample()
			within = longWatchTime
		}
		for _, addr := range e.uplink.Lost(within) {
			e.guard.RecordLost(addr)
		}
		e.guard.RecordLooked(start)
	}
}

// stays reports whether an upstream is registered, or has a successor, and has not announced that it leaves.
func (e *Edge) stays(t target.Target) bool {
	if e.avoid.Leaving(t) {
		return false
	}
	targets := e.intake.View().Targets
	if known, ok := targets[t.ID]; ok {
		return !known.SameIncarnation(t) || !known.Draining
	}
	for _, other := range targets {
		if other.Addr == t.Addr {
			return true
		}
	}
	return false
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
