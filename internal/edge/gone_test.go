//go:build !race

package edge_test

import (
	"testing"
	"time"
)

// awayTold, in synctest's time as all waits here, is how long after the first answer that says that an upstream leaves a host may still send it what it had begun to.
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
	eachKind(t, 100, func(t *testing.T, p *payers, _ func()) {
		for _, ip := range p.hosts {
			p.store.refuse(ip, true)
		}
		p.mu.Lock()
		p.leaves["u0"] = true
		p.mu.Unlock()
		begun := time.Now()
		time.Sleep(12 * time.Second)
		if late, latest := p.lateFor("u0"); late > 0 {
			t.Errorf("%d requests came to an upstream up to %v after it had told their hosts that it leaves", late, latest)
		}
		p.wantAnswered(begun, time.Now().Add(-2*time.Second))
	})
}
