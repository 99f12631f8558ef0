//go:build !race

package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

// awayTold is how long after the first answer that says that an upstream leaves a host may still send it what it had begun to.
const awayTold = time.Second

// lateFor returns how many requests came to an upstream from hosts that it had told long before that it leaves.
func (p *payers) lateFor(id string) (late int, latest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := map[string]time.Time{}
	for _, r := range p.runs {
		if r.to != id {
			continue
		}
		if at, ok := first[r.from]; ok && r.at.Sub(at) > awayTold {
			late++
			latest = max(latest, r.at.Sub(at))
		}
		if _, ok := first[r.from]; r.leaving && !ok {
			first[r.from] = r.at
		}
	}
	return late, latest
}

// The store is away while an upstream begins to leave: its registration says that it is ready, and only its answers tell otherwise.
// Requests sent there on are cut off with it.
func TestUpstreamThatSaysItLeavesGetsNothingMore(t *testing.T) {
	for _, engines := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines %v", engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newNeed(t, engines)
				time.Sleep(14 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				p.load(ctx, 1, "red", 100, func(*rand.Rand) int { return 100 })
				time.Sleep(2 * time.Second)
				for _, ip := range p.hosts {
					p.store.refuse(ip, true)
				}
				p.mu.Lock()
				p.leaves["u0"] = true
				p.mu.Unlock()
				begun := time.Now()
				time.Sleep(12 * time.Second)
				late, latest := p.lateFor("u0")
				if late > 0 {
					t.Errorf("%d requests came to an upstream up to %v after it had told their hosts that it leaves", late, latest)
				}
				p.wantAnswered(begun, time.Now().Add(-2*time.Second))
			})
		})
	}
}
