package bench_test

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"sync"
	"testing"
	"time"

	"damaskreach/internal/bench"
	"damaskreach/internal/policy"
	"damaskreach/internal/trace"
	"damaskreach/internal/tune"
)

const (
	golden = "testdata/golden.json"
	seed   = 1
	span   = time.Hour
)

var update = flag.Bool("update", false, "write the present figures to "+golden)

// bound is a figure and the worst value that passes.
type bound struct {
	Figure float64 `json:"figure"`
	Bound  float64 `json:"bound"`
}

// slack returns the bound of a figure: a tenth and a little more for times and counts, a fiftieth for efficiency,
// and nothing at all for refusals of tenants that did not ask for too much.
func slack(name string, figure float64) bound {
	if name == "efficiency" {
		return bound{Figure: figure, Bound: figure * 0.98}
	}
	if name == "others" {
		return bound{Figure: figure, Bound: figure}
	}
	return bound{Figure: figure, Bound: figure*1.1 + 5}
}

// measured is one policy on one trace.
type measured struct {
	site   string
	policy string
}

// results holds the runs that the tests share; they are independent and run side by side.
var results = sync.OnceValue(func() map[measured]bench.Result {
	var lock sync.Mutex
	var group sync.WaitGroup
	all := map[measured]bench.Result{}
	run := func(site string, p policy.Policy) {
		t := tune.Default()
		t.Stall = bench.Stall(site)
		r := bench.Run(trace.New(site, seed, span), p, t, seed)
		lock.Lock()
		defer lock.Unlock()
		all[measured{site, p.Name}] = r
	}
	for _, site := range trace.Sites() {
		group.Go(func() { run(site, policy.Current()) })
	}
	group.Go(func() { run("almaty", policy.Variants()[0]) })
	group.Go(func() { run("kingston", policy.Variants()[0]) })
	group.Wait()
	return all
})

// run returns the figures of a policy on a site's trace.
func run(site string, p policy.Policy) bench.Result {
	return results()[measured{site, p.Name}]
}

// figures returns what is held to bounds.
func figures(r bench.Result) map[string]float64 {
	return map[string]float64{
		"stallMean":  r.StallMean,
		"stall95":    r.Stall95,
		"stall99":    r.Stall99,
		"efficiency": r.Efficiency,
		"loads":      float64(r.Loads),
		"first95":    r.First95,
		"gap95":      r.Gap95,
		"missed":     float64(r.Missed),
		"refused":    float64(r.Refused),
		"others":     float64(r.Others),
		"false":      float64(r.False),
	}
}

func TestCurrentPolicyStaysWithinItsBounds(t *testing.T) {
	now := map[string]bench.Result{}
	for _, site := range trace.Sites() {
		now[site] = run(site, policy.Current())
	}
	if *update {
		write(t, now)
	}
	text, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	var want map[string]map[string]bound
	if err := json.Unmarshal(text, &want); err != nil {
		t.Fatal(err)
	}
	for site, r := range now {
		for name, got := range figures(r) {
			limit, known := want[site][name]
			worse := got > limit.Bound
			if name == "efficiency" {
				worse = got < limit.Bound
			}
			if !known || worse {
				t.Errorf("%s %s: got %v, want within %v (was %v)", site, name, got, limit.Bound, limit.Figure)
			}
		}
		if got, want := r.Broken, 0; got != want {
			t.Errorf("%s rules broken: got %d, want %d", site, got, want)
		}
		if got, want := r.False, 0; got != want && site != "rush" {
			t.Errorf("%s false refusals: got %d, want %d", site, got, want)
		}
	}
}

func write(t *testing.T, now map[string]bench.Result) {
	all := map[string]map[string]bound{}
	for site, r := range now {
		all[site] = map[string]bound{}
		for name, figure := range figures(r) {
			all[site][name] = slack(name, figure)
		}
	}
	text, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(golden, append(text, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestEqualSeedsGiveEqualFigures(t *testing.T) {
	tr := func() *trace.Trace { return trace.New("almaty", 3, 10*time.Minute) }
	got := bench.Run(tr(), policy.Current(), tune.Default(), 3)
	want := bench.Run(tr(), policy.Current(), tune.Default(), 3)
	if !reflect.DeepEqual(got, want) {
		t.Errorf("second run: got %+v, want %+v", got, want)
	}
}

// The bars that the users set for the policy against least-loaded routing with LRU eviction.
func TestCurrentPolicyAgainstTheBaseline(t *testing.T) {
	baseline := policy.Variants()[0]
	before, now := run("almaty", baseline), run("almaty", policy.Current())
	if got, want := now.Stall99, before.Stall99/3; got > want {
		t.Errorf("almaty stall p99: got %v ms, want at most %v", got, want)
	}
	before, now = run("kingston", baseline), run("kingston", policy.Current())
	if got, want := now.Efficiency, 1.25*before.Efficiency; got < want {
		t.Errorf("kingston efficiency: got %v, want at least %v", got, want)
	}
	if got, want := now.First95, before.First95; got > want {
		t.Errorf("kingston first token p95: got %v ms, want at most %v", got, want)
	}
}
