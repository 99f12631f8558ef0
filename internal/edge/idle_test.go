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
	// idleHosts is enough for nearly all to hear from others how busy an engine is.
	idleHosts = 6
	// idleTakes is how long requests run that make an engine busy, and idleAfter how long after the last of them was asked others follow: it has
	// ended by then, and hosts would believe the count before for some time more.
	idleTakes = time.Second
	idleAfter = 2500 * time.Millisecond
)

// An engine had many requests, and the last has ended. Hosts that go on believing the count before send all that comes to its neighbours for seconds.
func TestEngineThatHasBecomeIdleGetsItsPartAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPayersOf(t, idleHosts, 3, 1, unlimited, func(e *edge.Edge, _ *setup.Setup) { asEngines(e) })
		p.engines = true
		time.Sleep(14 * time.Second)
		p.play(t, idleTakes, 400, 100*time.Millisecond)
		go p.register(t.Context(), "u1", 0)
		time.Sleep(idleAfter)
		begun := time.Now()
		p.play(t, 0, 10, 1500*time.Millisecond)
		_, first := p.got("u0", begun, time.Now())
		_, second := p.got("u1", begun, time.Now())
		if all := first + second; all < 10 || first < all/4 || second < all/4 {
			t.Errorf("u0, which has become idle, got %d of %d requests and u1, which is new, %d; want a quarter each at least", first, all, second)
		}
	})
}

// play has callers ask at a rate for a while, where upstreams run a request for so long.
func (p *payers) play(t *testing.T, takes time.Duration, perSecond float64, span time.Duration) {
	p.mu.Lock()
	p.takes = takes
	p.mu.Unlock()
	ctx, stop := context.WithTimeout(t.Context(), span)
	defer stop()
	p.load(ctx, 1, "red", perSecond, func(*rand.Rand) int { return shortPrompt })
	<-ctx.Done()
}
