package giver_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/giver"
	"damaskreach/internal/usage"
)

// told returns what hosts are told of the stand-in engine's requests.
func told(g *giver.Giver) (n int, named bool) {
	n, named = g.Loads(func(string) bool { return true })["e"]
	return n, named
}

// The last request at an engine has ended. Left out at once, the engine would count at other hosts as it was last for seconds, and its neighbours get
// all requests meanwhile.
func TestEngineThatHasBecomeIdleIsToldAsSuch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := loaded(t, newEngine(2))
		time.Sleep(10 * time.Second)
		if n, named := told(g); named {
			t.Errorf("an engine that is idle for long is told with %d requests, want it left out", n)
		}
		g.Take([]usage.Usage{{Host: "h", Engine: "e", Running: 4}}, time.Now())
		if n, _ := told(g); n != 4 {
			t.Fatalf("requests = %d, want 4", n)
		}
		time.Sleep(time.Second)
		g.Take([]usage.Usage{{Host: "h", Engine: "e"}}, time.Now())
		for range 4 {
			if n, named := told(g); n != 0 || !named {
				t.Errorf("requests = %d, named = %v, want 0 and named while others believe the count before", n, named)
			}
			time.Sleep(time.Second)
		}
	})
}
