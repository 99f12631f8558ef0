//go:build !race

package demo_test

import (
	"bytes"
	"regexp"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/demo"
)

// Operators are asked why a request was refused or an adapter unloaded. The node that decided it may have been drained
// since. Any node must be able to tell, for each one that callers and engines counted.
func TestEveryRefusalAndUnloadIsExplained(t *testing.T) {
	for _, seed := range []string{"1", "2", "3"} {
		synctest.Test(t, func(t *testing.T) {
			var out, faults bytes.Buffer
			if code := demo.Run([]string{"--seed", seed, "--requests", "300"}, &out, &faults); code != 0 {
				t.Errorf("seed %s: exit code = %d, want 0:\n%s%s", seed, code, &out, &faults)
			}
			count := regexp.MustCompile(`explained: (\d+) of (\d+) refusals, (\d+) of (\d+) unloads`).FindStringSubmatch(out.String())
			if count == nil || count[1] != count[2] || count[3] != count[4] || count[4] == "0" {
				t.Errorf("seed %s: got %q, want all of some:\n%s", seed, count, &out)
			}
			t.Log(count)
			time.Sleep(time.Minute) // lets connections and timers end
		})
	}
}
