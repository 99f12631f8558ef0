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

// draws is how often a choice is made: so often that shares do not depend on luck.
const draws = 20000

// chosen counts how often each of two upstreams comes first.
func chosen(p *pick.Pick, list []target.Target) map[string]int {
	counts := map[string]int{}
	for range draws {
		counts[p.Order(list, now)[0].ID]++
	}
	return counts
}

// An upstream breaks every connection. Requests go to the other one and come back to it after a while; without the rest each
// request would be tried there first.
func TestUpstreamThatBreaksIsLeftAloneForAWhile(t *testing.T) {
	p := pick.NewPick("dc")
	p.Rest("near", now)
	if got := chosen(p, []target.Target{near, other})["near"]; got != 0 {
		t.Errorf("chosen %d times of %d, want 0", got, draws)
	}
	if p.Resting("near", now.Add(10*time.Second)) {
		t.Error("left alone after 10 s, want it tried again")
	}
}

// All upstreams were left alone a moment ago. A request is better tried than refused.
func TestUpstreamsThatRestAreStillTried(t *testing.T) {
	p := pick.NewPick("dc")
	p.Rest("near", now)
	p.Rest("other", now)
	if got, want := len(p.Order([]target.Target{near, other}, now)), 2; got != want {
		t.Errorf("upstreams = %d, want %d", got, want)
	}
}

// An upstream answers half of its requests with a fault while its health check is good. It gets fewer requests than its
// sound neighbour.
func TestUpstreamThatFailsOftenGetsFewer(t *testing.T) {
	p := pick.NewPick("dc")
	for i := range 40 {
		p.Begin("near")
		p.End("near", i%2 == 0)
		p.Begin("other")
		p.End("other", false)
	}
	if got := chosen(p, []target.Target{near, other})["near"]; got > draws/10 {
		t.Errorf("chosen %d times of %d, want at most a tenth", got, draws)
	}
}

// Many hosts know the same of two engines that are about as busy. With one strict order all of them would send to the same
// engine until they hear of it again.
func TestHostsThatKnowTheSameSpreadTheirRequests(t *testing.T) {
	p := pick.NewPick("dc")
	p.Told("near", 10, now)
	p.Told("other", 11, now)
	counts := chosen(p, []target.Target{near, other})
	if counts["near"] < draws/5 || counts["other"] < draws/5 {
		t.Errorf("chosen %v, want both at least a fifth of %d", counts, draws)
	}
}

// An engine has prompts for half a second to read. Another one that runs a few requests more is the better choice.
func TestLongWaitCountsAgainstAnEngine(t *testing.T) {
	p := pick.NewPick("dc")
	p.Told("other", 4, now)
	p.Waits("near", 500*time.Millisecond, now)
	if got := chosen(p, []target.Target{near, other})["near"]; got != 0 {
		t.Errorf("chosen %d times of %d, want 0", got, draws)
	}
}

// How crowded an engine is follows from the mean of all; it must be that of what each has to do, slow engines counting as much more.
func TestMeanIsThatOfAllUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	p := pick.NewPick("dc")
	p.Slow = func(id string) float64 { return map[string]float64{"a": 2, "b": 1, "c": 1}[id] }
	p.Told("a", 3, now)
	p.Begin("b")
	list := []target.Target{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	sum := 0.0
	for _, one := range list {
		sum += p.Busy(one.ID, now)
	}
	if got, want := p.Mean(list, now), sum/3; got != want || want == 0 {
		t.Errorf("mean = %v, want %v", got, want)
	}
}
