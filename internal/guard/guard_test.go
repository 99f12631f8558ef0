package guard_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/demand"
	"damaskreach/internal/guard"
	"damaskreach/internal/ident"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
)

// newGuard returns a guard that writes no lines.
func newGuard() *guard.Guard {
	g := guard.NewGuard("host")
	g.Log, g.Stats = zap.NewNop(), stats.NewStats()
	return g
}

// Engines crash together under prompts that share a part, and it takes a while to see that, longer at each. Counted when it is seen, they would look like engines
// that the part crashes one after the other, and all prompts with it would be refused.
func TestEnginesThatCrashTogetherBlockNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard()
		start := time.Now()
		crash := func(n int, seen time.Duration) {
			g.Crashed = func(string) bool { time.Sleep(seen); return true }
			i := ident.NewIdent(demand.Demand{URI: fmt.Sprint("/", n), Parts: []string{"shared"}}, "", "")
			g.RecordBreak(i, target.Target{ID: fmt.Sprint("e", n)}, start, false)
		}
		done := make(chan struct{}, 4)
		for n := range 4 {
			go func() { crash(n, time.Duration(n)*400*time.Millisecond); done <- struct{}{} }()
			synctest.Wait()
		}
		for range 4 {
			<-done
		}
		if why := g.Blocked(ident.Ident{Parts: []string{"shared"}}, time.Now()); why != "" {
			t.Errorf("blocked: %s, want prompts with the part served", why)
		}
		for n := range 3 {
			time.Sleep(time.Second)
			start = time.Now()
			crash(9+n, 0)
		}
		if why := g.Blocked(ident.Ident{Parts: []string{"shared"}}, time.Now()); why == "" {
			t.Error("not blocked after crashes a second apart, want it blocked")
		}
	})
}

// An upstream broke off under a request from another address. One like it must not take down two; one that is known to run well, or that is like none of them, is sent again.
func TestRequestLikeOneThatBrokeIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGuard()
		of := func(uri, address string) ident.Ident {
			return ident.NewIdent(demand.Demand{URI: uri}, "", address+":1")
		}
		known, to := of("/x", "10.0.0.1"), target.Target{ID: "u", Incarnation: 1}
		run := g.Begin(known, to, time.Now())
		g.RecordAnswer(run, http.StatusOK, time.Now())
		time.Sleep(5 * time.Second)
		g.Sample()
		time.Sleep(5 * time.Second)
		broke := of("/x", "10.0.0.2")
		g.RecordBreak(broke, target.Target{ID: "w", Incarnation: 1}, time.Now(), false)
		for _, c := range []struct {
			i    ident.Ident
			want bool
		}{{broke, true}, {of("/x", "10.0.0.3"), false}, {known, true}, {of("/y", "10.0.0.3"), true}} {
			if got := g.MayRetry(c.i, time.Now()); got != c.want {
				t.Errorf("%s from %s may be sent again = %v, want %v", c.i.Request, c.i.Caller, got, c.want)
			}
		}
	})
}
