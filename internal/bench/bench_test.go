package bench_test

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
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

func run(site string, p policy.Policy) bench.Result {
	t := tune.Default()
	t.Stall = bench.Stall(site)
	return bench.Run(trace.New(site, seed, span), p, t, seed)
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
