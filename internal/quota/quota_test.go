package quota_test

import (
	"testing"

	"damaskreach/internal/limit"
	"damaskreach/internal/quota"
)

// Reserving the stated maximum refuses callers whose real use is far below their limit; charging only afterwards
// lets a busy minute pass the limit by a third. The learnt expectation has to stay clear of both.
func TestLearntExpectationAgainstTheOtherWays(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		figures := map[string]quota.Quota{}
		for _, q := range quota.Run(seed) {
			if q.Nodes > 1 {
				continue
			}
			figures[q.Way] = q
			if q.Way != limit.Learnt {
				continue
			}
			if got, want := q.False, figures[limit.Reserve].False/4; got > want {
				t.Errorf("seed %d, demand %v, false refusals: got %d, want at most %d", seed, q.Demand, got, want)
			}
			if got, want := q.Overshoot, 0.1; got > want {
				t.Errorf("seed %d, demand %v, overshoot: got %v, want at most %v", seed, q.Demand, got, want)
			}
		}
	}
}
