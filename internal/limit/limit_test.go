package limit_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"damaskreach/internal/adapt"
	"damaskreach/internal/call"
	"damaskreach/internal/limit"
	"damaskreach/internal/tenant"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// The seed is fixed so that every run tries the same sequences; -rapid.seed tries others.
func init() {
	if err := flag.Set("rapid.seed", "20260302"); err != nil {
		panic(err)
	}
}

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// A caller is told to come back in a few seconds and is refused again then. It would learn to ignore the
// answer and to hammer the system, which is what the time is there to prevent.
func TestRetryIsTruthful(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := adapt.Adapter{
			Name:     "a",
			Requests: rapid.IntRange(0, 12).Draw(t, "requests"),
			Tokens:   rapid.IntRange(0, 3000).Draw(t, "tokens"),
		}
		l := limit.NewLimit(limit.Learnt)
		now := start
		for n := range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			c := call.Call{ID: fmt.Sprint(n), Adapter: "a", Tenant: "t", Most: 400}
			refusal := l.Admit(now, c, a, tenant.Tenant{Name: "t"})
			if refusal == nil {
				l.Settle(now, c, rapid.IntRange(0, 400).Draw(t, "answer"))
				continue
			}
			if refusal.Code != refuse.Limited || refusal.Verdict != verd.NotRun || refusal.Retry <= 0 {
				t.Fatalf("refusal: got %v, retry %v", refusal, refusal.Retry)
			}
			if refusal.Retry > 61*time.Second {
				t.Fatalf("retry: got %v, want at most a minute", refusal.Retry)
			}
			now = now.Add(refusal.Retry)
			if again := l.Admit(now, c, a, tenant.Tenant{Name: "t"}); again != nil {
				t.Fatalf("at the time it was told: got %v, want it admitted", again)
			}
			l.Settle(now, c, 0)
		}
	})
}

// A request was charged and then not run, as its runner was gone. Its caller repeats it and must not find
// the limit used up by the try that never ran.
func TestReturnGivesTheChargeBack(t *testing.T) {
	l := limit.NewLimit(limit.Learnt)
	a := adapt.Adapter{Name: "a", Requests: 1, Tokens: 100}
	c := call.Call{ID: "1", Adapter: "a", Most: 100}
	for try := range 3 {
		if refusal := l.Admit(start, c, a, tenant.Tenant{}); refusal != nil {
			t.Fatalf("try %d: got %v, want it admitted", try, refusal)
		}
		l.Return(start, c)
	}
}

// Seven nodes serve one tenant and hear of each other a second late. If each of them took all that was left,
// the tenant would get its limit seven times.
func TestNodesTogetherKeepTheLimit(t *testing.T) {
	const nodes, allowed = 7, 70
	row := tenant.Tenant{Name: "t", Requests: allowed}
	var all []*limit.Limit
	for range nodes {
		l := limit.NewLimit(limit.Learnt)
		l.Among(nodes - 1)
		all = append(all, l)
	}
	admitted, serial := 0, 0
	for second := range 50 {
		now := start.Add(time.Duration(second) * time.Second)
		for i, to := range all {
			elsewhere := map[string]float64{"requests/tenant/t": 0}
			for k, from := range all {
				if i != k {
					elsewhere["requests/tenant/t"] += from.Used(now)["requests/tenant/t"]
				}
			}
			to.Learn(now, "home", true, elsewhere)
		}
		for range 20 {
			for _, l := range all {
				serial++
				c := call.Call{ID: fmt.Sprint(serial), Adapter: "a", Tenant: "t"}
				if l.Admit(now, c, adapt.Adapter{Name: "a"}, row) == nil {
					admitted++
				}
			}
		}
	}
	if admitted < allowed || admitted > allowed+nodes-1 {
		t.Errorf("admitted in a minute: got %d, want %d to %d", admitted, allowed, allowed+nodes-1)
	}
}
