package guard_test

import (
	"fmt"
	"net/http"
	"strings"
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

// A request ends upstreams after its host has given it up, so that no connection breaks under it. It must be blocked once others find them gone, unless they leave, as in
// a release of their software, or it may not have run any more.
func TestEndUnderARequestGivenUpCountsOnceItIsFound(t *testing.T) {
	for _, c := range []struct {
		name           string
		crashed, stays bool
		after          time.Duration
		blocked        bool
	}{
		{"ends", true, true, 500 * time.Millisecond, true},
		{"goes on", false, true, 500 * time.Millisecond, false},
		{"leaves", true, false, 500 * time.Millisecond, false},
		{"ends after the deadline", true, true, 2 * time.Second, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := newGuard()
			g.IsToBlame = func(string, time.Time, time.Time, bool) bool { return true }
			g.Crashed = func(string) bool { return c.crashed }
			g.Stays = func(target.Target) bool { return c.stays }
			i := ident.NewIdent(demand.Demand{URI: "/x"}, "red", "")
			other := ident.NewIdent(demand.Demand{URI: "/y"}, "red", "")
			for n := range 3 {
				to := target.Target{ID: fmt.Sprint("u", n), Addr: fmt.Sprintf("10.0.0.%d:80", n)}
				run := g.Begin(i, to, time.Now())
				g.RecordGivenUp(run, i, to, time.Now().Add(time.Second))
				g.End(run)
				time.Sleep(c.after)
				g.Miss(g.Begin(other, to, time.Now()))
				synctest.Wait()
			}
			if blocked := g.Blocked(i, time.Now()) != ""; blocked != c.blocked {
				t.Errorf("%s: blocked = %v, want %v", c.name, blocked, c.blocked)
			}
			if why := g.Blocked(other, time.Now()); why != "" {
				t.Errorf("%s: the request that found them gone is blocked: %s", c.name, why)
			}
		})
	}
}

// Upstreams end with nothing of a host there. Left out, a request would look as if it were at all ends that is at most of those that are noticed, and sound ones are refused.
func TestEndsThatNobodyNoticedCountOnce(t *testing.T) {
	used := target.Target{ID: "u", Addr: "10.0.0.1:80", Group: "g", Incarnation: 1}
	next := used
	next.Incarnation = 2
	for _, c := range []struct {
		name             string
		registered       []target.Target
		noticed, leaving bool
		heard            time.Duration // when another host tells of an end, under a name that this one does not know; 0 for never
		want             int
	}{
		{"goes on", []target.Target{used}, false, false, 0, 0},
		{"starts again", []target.Target{next}, false, false, 0, 1},
		{"is gone", nil, false, false, 0, 1},
		{"leaves", nil, false, true, 0, 0},
		{"is known to have ended", []target.Target{next}, true, false, 0, 1},
		{"ended elsewhere under another name", []target.Target{next}, false, false, 3 * time.Second, 0},
		{"its predecessor ended", []target.Target{next}, false, false, time.Second, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := newGuard()
			if c.heard > 0 {
				time.AfterFunc(c.heard, func() { g.AddReports("other", []string{"end u/0#1 g"}, time.Now()) })
			}
			time.Sleep(2 * time.Second)
			run := g.Begin(ident.NewIdent(demand.Demand{URI: "/x"}, "red", ""), used, time.Now())
			g.RecordAnswer(run, http.StatusOK, time.Now())
			g.End(run)
			if c.noticed {
				g.RecordLost(used.Addr)
				synctest.Wait()
			}
			time.Sleep(2 * time.Second)
			registered := map[string]target.Target{}
			for _, r := range c.registered {
				registered[r.ID] = r
			}
			for range 2 {
				g.CheckReplaced(registered, func(target.Target) bool { return c.leaving })
			}
			got := 0
			for _, text := range g.TakeReports() {
				if kind, _, _ := strings.Cut(text, " "); kind == "end" || kind == "hit" {
					got++
				}
			}
			if got != c.want {
				t.Errorf("%s: %d ends are told, want %d", c.name, got, c.want)
			}
		})
	}
}
