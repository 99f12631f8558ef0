//go:build !race

package edge_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/edge"
	"damaskreach/internal/setup"
)

const (
	// idleHosts is enough for nearly all hosts to hear from others how busy an engine is.
	idleHosts = 6
	// idleServiceTime is how long the requests run that make an engine busy. idleWait is when others follow after the last of them was sent:
	// it has ended by then, but hosts could still use an old count.
	idleServiceTime = time.Second
	idleWait        = 2500 * time.Millisecond
)

// An engine was busy, and its last request has ended. Hosts that still used the old count would send all requests to others for seconds.
func TestEngineThatBecameIdleGetsItsShareAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTeamFleetOf(t, idleHosts, 3, 1, unlimitedTeams, func(e *edge.Edge, _ *setup.Setup) { actAsEngines(e) })
		p.engines = true
		time.Sleep(14 * time.Second)
		p.runLoad(t, idleServiceTime, 400, 100*time.Millisecond)
		go p.register(t.Context(), "u1", 0)
		time.Sleep(idleWait)
		start := time.Now()
		p.runLoad(t, 0, 10, 1500*time.Millisecond)
		_, first := p.received("u0", start, time.Now())
		_, second := p.received("u1", start, time.Now())
		if all := first + second; all < 10 || first < all/4 || second < all/4 {
			t.Errorf("u0, which has become idle, got %d of %d requests and u1, which is new, %d; want a quarter each at least", first, all, second)
		}
	})
}

// runLoad sends requests at a rate for a while, with a given service time at the upstreams.
func (p *teamFleet) runLoad(t *testing.T, takes time.Duration, perSecond float64, span time.Duration) {
	p.mu.Lock()
	p.serviceTime = takes
	p.mu.Unlock()
	ctx, stop := context.WithTimeout(t.Context(), span)
	defer stop()
	p.generateLoad(ctx, 1, "red", perSecond, func(*rand.Rand) int { return shortPrompt })
	<-ctx.Done()
}
