//go:build !race

package replay_test

import (
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/bench"
	"damaskreach/internal/policy"
	"damaskreach/internal/replay"
	"damaskreach/internal/trace"
	"damaskreach/internal/tune"
)

var (
	span = flag.Duration("span", 20*time.Second, "virtual time of each trace")
	only = flag.String("only", "baseline,square", "policies to compare")
)

// The policies were measured on the decision packages alone. If what lies between them and callers undid what they gain,
// a whole site would do no better than one that sends each request to the least loaded runner.
func TestPoliciesOnWholeSites(t *testing.T) {
	for _, name := range []string{"kingston", "almaty"} {
		tr := trace.New(name, 1, *span)
		options := tune.Default()
		options.Stall = bench.Stall(name)
		found := map[string]replay.Result{}
		for _, p := range policy.Variants() {
			if !strings.Contains(","+*only+",", ","+p.Name+",") {
				continue
			}
			synctest.Test(t, func(t *testing.T) {
				got, err := replay.Run(tr, p, options)
				if err != nil {
					t.Fatal(err)
				}
				t.Logf("%s: %+v", name, got)
				found[p.Name] = got
			})
		}
		before, after := found["baseline"], found["square"]
		if after.First95 > before.First95 || after.Loads > before.Loads {
			t.Errorf("%s: got first token %s and %d loads with the current policy, want no more than the baseline's %s and %d", name, after.First95, after.Loads, before.First95, before.Loads)
		}
	}
}
