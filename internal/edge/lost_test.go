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
	// lostSlots is how many requests an engine runs at once, and lostRun for how long.
	lostSlots = 6
	lostRun   = 150 * time.Millisecond
	// lostKnown is within which the hosts that are left count together at an engine whose host is lost: they have it as lost by then.
	lostKnown = 2500 * time.Millisecond
)

// The host that orders an engine is lost for good. Until another one takes the engine, the hosts that are left send it what it holds; each counting
// for itself, they would overfill it, and requests would wait in its queue beyond the time for which their version of an adapter is in force.
func TestEngineWithoutItsHostIsNotOverfilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPayersOf(t, needHosts, 3, needOthers, unlimited, func(e *edge.Edge, _ *setup.Setup) {
			asEngines(e)
			conf := e.Rules
			e.Rules = func(row rows.Row) (rules.Rules, bool, error) {
				r, ok, err := conf(row)
				r.Pools["g"] = withSlots(r.Pools["g"], lostSlots)
				return r, ok, err
			}
		})
		p.mu.Lock()
		p.takes = lostRun
		p.mu.Unlock()
		time.Sleep(14 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		p.load(ctx, 1, "red", 60, func(*rand.Rand) int { return shortPrompt })
		time.Sleep(2 * time.Second)
		p.kill(p.orders("u0"))
		time.Sleep(lostKnown)
		p.load(ctx, 2, "red", 340, func(*rand.Rand) int { return shortPrompt })
		time.Sleep(time.Second)
		p.mu.Lock()
		clear(p.peak)
		p.mu.Unlock()
		time.Sleep(5 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		t.Logf("most requests at once: %v", p.peak)
		for id, most := range p.peak {
			if most > lostSlots+1 {
				t.Errorf("%s had %d requests at once, want no more than the %d that it runs and one on its way", id, most, lostSlots)
			}
		}
		if p.peak["u0"] < lostSlots/2 {
			t.Errorf("u0 had %d requests at once, want its room used", p.peak["u0"])
		}
	})
}

// withSlots returns a pool whose engines run so many requests at once.
func withSlots(p pool.Pool, slots int) pool.Pool {
	p.Slots = slots
	return p
}
