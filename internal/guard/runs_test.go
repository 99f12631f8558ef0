package guard_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/ident"
	"damaskreach/internal/target"
)

// Upstreams end behind whole answers to a request. It must be blocked; where they leave, as in a release of their software, the request must be served.
func TestEndsBehindAnswersCountUnlessTheUpstreamLeaves(t *testing.T) {
	for _, stays := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := newGuard()
			g.IsToBlame = func(string, time.Time, time.Time, bool) bool { return true }
			g.Stays = func(target.Target) bool { return stays }
			i := ident.NewIdent(demand.Demand{URI: "/x"}, "red", "")
			for n := range 4 {
				to := target.Target{ID: fmt.Sprint("u", n), Addr: fmt.Sprintf("10.0.0.%d:80", n)}
				run := g.Begin(i, to, time.Now())
				time.Sleep(10 * time.Millisecond)
				g.RecordAnswer(run, http.StatusOK, time.Now())
				g.End(run)
				time.Sleep(20 * time.Millisecond)
				g.RecordLost(to.Addr)
				synctest.Wait()
			}
			if blocked := g.Blocked(i, time.Now()) != ""; blocked != stays {
				t.Errorf("upstreams stay = %v: blocked = %v, want %v", stays, blocked, stays)
			}
		})
	}
}
