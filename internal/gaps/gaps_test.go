package gaps_test

import (
	"testing"
	"time"

	"damaskreach/internal/gaps"
)

var start = time.Unix(1000, 0)

// Half of the events wait for a prompt of another request. What is told of the engine must be its plain step, or a fast engine that is busy
// would pass for a slow one.
func TestPromptsOfOthersDoNotCountAsSlowness(t *testing.T) {
	var g gaps.Gaps
	for i := range 40 {
		took := 30 * time.Millisecond
		if i%2 == 0 {
			took = 110 * time.Millisecond
		}
		g.Add(took, start)
	}
	got, n := g.Quartile(start)
	if want := 30 * time.Millisecond; got != want || n != 32 {
		t.Errorf("Quartile = %v of %d, want %v of 32", got, n, want)
	}
}

// An engine turns slow. What was measured before must not hide that for longer than a few seconds.
func TestOldTimesDoNotCount(t *testing.T) {
	var g gaps.Gaps
	for range 32 {
		g.Add(30*time.Millisecond, start)
	}
	later := start.Add(4 * time.Second)
	if _, n := g.Quartile(later); n != 0 {
		t.Errorf("%d times count after 4 s, want none", n)
	}
	g.Add(210*time.Millisecond, later)
	if got, n := g.Quartile(later); got != 210*time.Millisecond || n != 1 {
		t.Errorf("Quartile = %v of %d, want 210ms of 1", got, n)
	}
}

// Guards against telling a value found before a new time came, or one whose times have since grown too old.
func TestQuartileFollowsNewTimesAndAge(t *testing.T) {
	var g gaps.Gaps
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for i, step := range []struct {
		add   time.Duration // 0 for none
		at    int           // ms
		want  time.Duration
		count int
	}{
		{50 * time.Millisecond, 0, 50 * time.Millisecond, 1},
		{0, 2999, 50 * time.Millisecond, 1},
		{20 * time.Millisecond, 2999, 20 * time.Millisecond, 2},
		{0, 3000, 20 * time.Millisecond, 1},
		{0, 5998, 20 * time.Millisecond, 1},
		{0, 5999, 0, 0},
		{30 * time.Millisecond, 5999, 30 * time.Millisecond, 1},
	} {
		if step.add > 0 {
			g.Add(step.add, at(step.at))
		}
		if got, n := g.Quartile(at(step.at)); got != step.want || n != step.count {
			t.Errorf("step %d: Quartile = %v of %d, want %v of %d", i, got, n, step.want, step.count)
		}
	}
}
