package pick_test

import (
	"testing"
	"time"

	"damaskreach/internal/pick"
	"damaskreach/internal/target"
)

var (
	near  = target.Target{ID: "near", Centre: "dc"}
	other = target.Target{ID: "other", Centre: "dc"}
	now   = time.Unix(1000, 0)
)

// drawCount is the number of choices made; large enough that shares do not depend on chance.
const drawCount = 20000

// countFirst counts how often each upstream is ranked first.
func countFirst(p *pick.Pick, list []target.Target) map[string]int {
	counts := map[string]int{}
	for range drawCount {
		counts[p.Order(list, now)[0].ID]++
	}
	return counts
}

// An upstream breaks every connection. Without backoff each request would be tried there first; it must be tried again later.
func TestBrokenUpstreamIsAvoidedDuringBackoff(t *testing.T) {
	p := pick.NewPick("dc")
	p.BackOff("near", now)
	if got := countFirst(p, []target.Target{near, other})["near"]; got != 0 {
		t.Errorf("chosen %d times of %d, want 0", got, drawCount)
	}
	if p.InBackoff("near", now.Add(10*time.Second)) {
		t.Error("in backoff after 10 s, want it tried again")
	}
}

// All upstreams are in backoff. The request must still be tried.
func TestUpstreamsInBackoffAreStillTried(t *testing.T) {
	p := pick.NewPick("dc")
	p.BackOff("near", now)
	p.BackOff("other", now)
	if got, want := len(p.Order([]target.Target{near, other}, now)), 2; got != want {
		t.Errorf("upstreams = %d, want %d", got, want)
	}
}

// An upstream fails half of its requests while its health check passes. It must get fewer requests than a healthy one.
func TestFailingUpstreamGetsFewerRequests(t *testing.T) {
	p := pick.NewPick("dc")
	for i := range 40 {
		p.Begin("near")
		p.End("near", i%2 == 0)
		p.Begin("other")
		p.End("other", false)
	}
	if got := countFirst(p, []target.Target{near, other})["near"]; got > drawCount/10 {
		t.Errorf("chosen %d times of %d, want at most a tenth", got, drawCount)
	}
}

// Many hosts have the same counts for two engines of similar load. With a strict order all of them would send to the same
// engine until the next report.
func TestHostsWithEqualStateSpreadRequests(t *testing.T) {
	p := pick.NewPick("dc")
	p.SetReported("near", 10, now)
	p.SetReported("other", 11, now)
	counts := countFirst(p, []target.Target{near, other})
	if counts["near"] < drawCount/5 || counts["other"] < drawCount/5 {
		t.Errorf("chosen %v, want both at least a fifth of %d", counts, drawCount)
	}
}

// An engine has half a second of queued prompts. Another one that runs a few requests more must be preferred.
func TestLongWaitRanksEngineLower(t *testing.T) {
	p := pick.NewPick("dc")
	p.SetReported("other", 4, now)
	p.SetWait("near", 500*time.Millisecond, now)
	if got := countFirst(p, []target.Target{near, other})["near"]; got != 0 {
		t.Errorf("chosen %d times of %d, want 0", got, drawCount)
	}
}

// The mean must weight each engine's requests by its slowdown, as WeightedLoad does.
func TestMeanLoadAveragesWeightedLoads(t *testing.T) {
	now := time.Unix(1000, 0)
	p := pick.NewPick("dc")
	p.Slowdown = func(id string) float64 { return map[string]float64{"a": 2, "b": 1, "c": 1}[id] }
	p.SetReported("a", 3, now)
	p.Begin("b")
	list := []target.Target{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	sum := 0.0
	for _, u := range list {
		sum += p.WeightedLoad(u.ID, now)
	}
	if got, want := p.MeanLoad(list, now), sum/3; got != want || want == 0 {
		t.Errorf("mean = %v, want %v", got, want)
	}
}
