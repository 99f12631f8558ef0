//go:build !race

package edge_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/edge"
	"damaskreach/internal/pool"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/setup"
)

const (
	// lostSlots is how many requests an engine runs at once, lostServiceTime for how long.
	lostSlots       = 6
	lostServiceTime = 150 * time.Millisecond
	// ownerLossTime is the time within which the remaining hosts detect the loss of an owner and count together at its engine.
	ownerLossTime = 2500 * time.Millisecond
)

// An engine's owner is lost for good. Until another host takes the engine over, the others send it requests for what it holds. If each
// counted for itself, they would overfill it, and requests would wait in its queue until their adapter version has expired.
func TestEngineWithoutOwnerIsNotOverfilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTeamFleetOf(t, selfLimitHosts, 3, selfLimitUpstreams, unlimitedTeams, func(e *edge.Edge, _ *setup.Setup) {
			actAsEngines(e)
			conf := e.DecodeRules
			e.DecodeRules = func(row rows.Row) (rules.Rules, bool, error) {
				r, ok, err := conf(row)
				r.Pools["g"] = withSlots(r.Pools["g"], lostSlots)
				return r, ok, err
			}
		})
		p.mu.Lock()
		p.serviceTime = lostServiceTime
		p.mu.Unlock()
		time.Sleep(14 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		p.generateLoad(ctx, 1, "red", 60, func(*rand.Rand) int { return shortPrompt })
		time.Sleep(2 * time.Second)
		p.kill(p.owner("u0"))
		time.Sleep(ownerLossTime)
		p.generateLoad(ctx, 2, "red", 340, func(*rand.Rand) int { return shortPrompt })
		time.Sleep(time.Second)
		p.mu.Lock()
		clear(p.peak)
		p.mu.Unlock()
		time.Sleep(5 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		t.Logf("most requests at once: %v", p.peak)
		for id, peak := range p.peak {
			if peak > lostSlots+1 {
				t.Errorf("%s had %d requests at once, want no more than the %d that it runs and one in flight", id, peak, lostSlots)
			}
		}
		if p.peak["u0"] < lostSlots/2 {
			t.Errorf("u0 had %d requests at once, want its slots used", p.peak["u0"])
		}
	})
}

// withSlots returns a pool whose engines run a number of requests at once.
func withSlots(p pool.Pool, slots int) pool.Pool {
	p.Slots = slots
	return p
}
