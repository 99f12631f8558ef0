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

// An upstream's registration is deleted while the store works. The upstream must get no more requests.
func TestUnregisteredUpstreamIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		s.update(func() { s.rows["up/"] = []rows.Row{gone("a")} })
		time.Sleep(1500 * time.Millisecond)
		if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want b alone", i.View().Targets)
		}
	})
}

// The store answers slowly, and its answer reflects any moment since the request. Hosts that count the age from the answer rely on it for
// longer, and send requests to upstreams that have left meanwhile.
func TestAgeCountsFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slow = 600 * time.Millisecond
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a")}}, latency: slow}
		i := start(t, s)
		time.Sleep(3*time.Second + 50*time.Millisecond)
		for range 40 {
			// A reading begins each second and ends 0.6 s later: the last one that ended began 0.6 to 1.6 s ago.
			m, ok := i.Marks()
			if age := time.Duration(m.Age) * time.Millisecond; !ok || age < slow || age > slow+time.Second {
				t.Fatalf("age = %v, %v, want %v at least and no more than a second over it", age, ok, slow)
			}
			time.Sleep(90 * time.Millisecond)
		}
	})
}

// A host that reads for others is suspended, or its time of day is set back. The monotonic clock omits the suspension and the time of day
// the step; others would take its last reading for seconds more recent than it is.
func TestAgeIncludesSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const suspended = 5 * time.Second
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a")}}}
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

// The store has compacted its history while one upstream vanished and another came. A host that reads for others must forward both, or they
// would use the vanished upstream for as long as that host reads.
func TestChangesFoundByListAreForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		var mu sync.Mutex
		recorded, recordedAfter := map[string]rows.Row{}, int64(0)
		i := start(t, s, func(i *intake.Intake) {
			i.RecordChanges = func(prefix string, after, _ int64, list []rows.Row) {
				mu.Lock()
				defer mu.Unlock()
				for _, row := range list {
					if prefix == "up/" {
						recorded[row.Key], recordedAfter = row, after
					}
				}
			}
		})
		time.Sleep(3500 * time.Millisecond)
		before, _ := i.Marks()
		mu.Lock()
		clear(recorded)
		mu.Unlock()
		s.update(func() {
			s.compacted = true
			s.rows["up/"] = []rows.Row{reg("b"), reg("c")}
		})
		time.Sleep(time.Second)
		after, _ := i.Marks()
		if after.Targets <= before.Targets {
			t.Errorf("mark = %d after %d, want a higher one: others would not ask", after.Targets, before.Targets)
		}
		mu.Lock()
		defer mu.Unlock()
		if got := recorded["up/a"]; !got.Gone || got.Rev != after.Targets {
			t.Errorf("change of a = %+v, want it gone at %d", got, after.Targets)
		}
		if got, want := len(recorded), 2; got != want || recordedAfter < before.Targets {
			t.Errorf("recorded %v after %d, want a and c after %d", recorded, recordedAfter, before.Targets)
		}
	})
}

// An upstream begins to drain just after a host has read, and another host forwards the change. If it waited for the next reading, each
// forwarding host would use the upstream for longer.
func TestForwardedChangesApplyBeforeNextReading(t *testing.T) {
	for name, delegated := range map[string]bool{"reads for itself": false, "lets another one read": true} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
			i := start(t, s, func(i *intake.Intake) {
				i.ReadDelegated = func() bool { return delegated }
				i.ReadInterval = func() time.Duration { return time.Hour }
				i.Forwarded = s.takeForwarded
			})
			time.Sleep(3 * time.Second)
			s.update(func() { s.forwarded = []rows.Row{gone("a")} })
			i.ObserveMarks(marks.Marks{Targets: 1000})
			synctest.Wait()
			if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
				t.Errorf("%s: upstreams = %v, want b alone at once", name, i.View().Targets)
			}
		})
	}
}

// A registration is overwritten with an unreadable value. It must not affect other upstreams.
func TestUnreadableRegistrationIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), {Key: "up/b", Value: []byte("\xff")}}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		if _, ok := i.View().Targets["a"]; !ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want a alone", i.View().Targets)
		}
	})
}
