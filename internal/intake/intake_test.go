package intake_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intake"
	"damaskreach/internal/marks"
	"damaskreach/internal/rows"
)

// An upstream's registration is dropped while the store works. It gets no more requests.
func TestDroppedUpstreamIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		s.set(func() { s.rows["up/"] = []rows.Row{gone("a")} })
		time.Sleep(1500 * time.Millisecond)
		if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want b alone", i.View().Targets)
		}
	})
}

// The store takes long to answer, or its answer crosses a full link. What it says is as of some moment since it was asked; hosts that count the age
// from the answer rely on it for as much longer, and send requests to upstreams that have left meanwhile.
func TestAgeCountsFromTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow = 600 * time.Millisecond
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a")}}, slow: slow}
		i := start(t, s)
		time.Sleep(3*time.Second + 50*time.Millisecond)
		for range 40 {
			// A reading begins each second, and is there 0.6 s later: the newest that is there began 0.6 to 1.6 s ago.
			m, ok := i.Marks()
			if age := time.Duration(m.Age) * time.Millisecond; !ok || age < slow || age > slow+time.Second {
				t.Fatalf("age = %v, %v, want %v at least and no more than a second over it", age, ok, slow)
			}
			time.Sleep(90 * time.Millisecond)
		}
	})
}

// A host that reads for others is suspended, or its time of day is set back, and goes on without another reading. The steady clock counts no
// suspension, the time of day counts what it is told; others would take its last reading for seconds younger than it is.
func TestAgeCountsASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const suspended = 5 * time.Second
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a")}}}
		var jump atomic.Int64
		begun := time.Now()
		i := start(t, s, func(i *intake.Intake) {
			i.Clock = func() time.Duration { return time.Since(begun) + time.Duration(jump.Load()) }
		})
		time.Sleep(3*time.Second + 50*time.Millisecond)
		jump.Store(int64(suspended))
		m, ok := i.Marks()
		if age := time.Duration(m.Age) * time.Millisecond; ok || age < suspended {
			t.Errorf("age = %v, reads for others = %v, want %v at least and not", age, ok, suspended)
		}
	})
}

// The store has forgotten its history, and meanwhile an upstream vanished and another one came. A host that reads for others must tell them
// both: they would go on to use the upstream that is gone, for as long as that host reads on.
func TestWhatAWholeReadingFindsIsToldToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		var mu sync.Mutex
		told, tellsAfter := map[string]rows.Row{}, int64(0)
		i := start(t, s, func(i *intake.Intake) {
			i.Keep = func(prefix string, after, _ int64, list []rows.Row) {
				mu.Lock()
				defer mu.Unlock()
				for _, row := range list {
					if prefix == "up/" {
						told[row.Key], tellsAfter = row, after
					}
				}
			}
		})
		time.Sleep(3500 * time.Millisecond)
		before, _ := i.Marks()
		mu.Lock()
		clear(told)
		mu.Unlock()
		s.set(func() {
			s.gone = true
			s.rows["up/"] = []rows.Row{reg("b"), reg("c")}
		})
		time.Sleep(time.Second)
		after, _ := i.Marks()
		if after.Targets <= before.Targets {
			t.Errorf("mark = %d after %d, want a newer one: others would not ask", after.Targets, before.Targets)
		}
		mu.Lock()
		defer mu.Unlock()
		if got := told["up/a"]; !got.Gone || got.Rev != after.Targets {
			t.Errorf("told of a: %+v, want it gone at %d", got, after.Targets)
		}
		if got, want := len(told), 2; got != want || tellsAfter < before.Targets {
			t.Errorf("told %v after %d, want a and c after %d", told, tellsAfter, before.Targets)
		}
	})
}

// An upstream begins to leave just after a host has read, and another host passes that on. Were it to wait for the next reading, each host on
// its way would use the upstream for as much longer.
func TestPassedOnChangesWaitForNoReading(t *testing.T) {
	for name, relaxed := range map[string]bool{"reads for itself": false, "lets another one read": true} {
		synctest.Test(t, func(t *testing.T) {
			s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
			i := start(t, s, func(i *intake.Intake) {
				i.Relaxed = func() bool { return relaxed }
				i.Every = func() time.Duration { return time.Hour }
				i.Passed = s.passed
			})
			time.Sleep(3 * time.Second)
			s.set(func() { s.pass = []rows.Row{gone("a")} })
			i.Wake(marks.Marks{Targets: 1000})
			synctest.Wait()
			if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
				t.Errorf("%s: upstreams = %v, want b alone at once", name, i.View().Targets)
			}
		})
	}
}

// A registration is overwritten by something that cannot be read. It names no upstream; the others stay.
func TestUnreadableRegistrationHarmsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), {Key: "up/b", Value: []byte("\xff")}}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		if _, ok := i.View().Targets["a"]; !ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want a alone", i.View().Targets)
		}
	})
}
