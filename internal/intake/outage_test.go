package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intake"
	"damaskreach/internal/marks"
	"damaskreach/internal/rows"
)

// Registrations expired during an outage of the store though the upstreams live. Dropped at once, every request would be refused until
// they register again; those that do not are dropped after the grace.
func TestLapsedUpstreamsGetGraceAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		s.update(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.update(func() {
			s.down, s.compacted = false, true
			s.rows["up/"] = nil
		})
		time.Sleep(1500 * time.Millisecond)
		if got, want := len(i.View().Targets), 2; got != want {
			t.Fatalf("upstreams = %d, want %d", got, want)
		}
		s.update(func() { s.rows["up/"] = []rows.Row{reg("b")} })
		time.Sleep(3 * time.Second)
		if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want b alone", i.View().Targets)
		}
	})
}

// An upstream's registration vanishes a second after the store's return. The grace ends 2.2 s after the return, also where the next regular
// reading is later. Counted from when it was missed, requests went to an engine that had begun to drain three seconds before.
func TestGraceAfterOutageEndsForAllAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		s.update(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.update(func() { s.down = false })
		time.Sleep(800 * time.Millisecond) // time for one reading
		s.update(func() { s.rows["up/"] = []rows.Row{gone("a")} })
		time.Sleep(1900 * time.Millisecond)
		if _, ok := i.View().Targets["a"]; ok {
			t.Error("a is still used 2.7 s after the store's return, want it gone")
		}
		if _, ok := i.View().Targets["b"]; !ok {
			t.Error("b is not used any more, want it used")
		}
	})
}

// The store refuses one host for seconds while others go on to report their readings. Nothing expires: an upstream that vanishes after the
// host's return is removed at once. Nor may the host call the store at each report: hundreds that did would make up most of its load.
func TestRefusalOfOneHostIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s, func(i *intake.Intake) { i.RetryDelay = func() time.Duration { return time.Second } })
		time.Sleep(3 * time.Second)
		s.update(func() { s.down, s.calls = true, 0 })
		for range 40 {
			time.Sleep(200 * time.Millisecond)
			i.ObserveMarks(marks.Marks{Age: 300})
		}
		s.update(func() {
			if got, want := s.calls, 2*9; got > want { // a list may follow a tail
				t.Errorf("%d calls to the store in 8 s, want %d at most", got, want)
			}
			s.down = false
		})
		time.Sleep(1100 * time.Millisecond)
		s.update(func() { s.rows["up/"] = []rows.Row{gone("a")} })
		time.Sleep(1100 * time.Millisecond)
		if _, ok := i.View().Targets["a"]; ok || i.StoreDown() {
			t.Errorf("upstreams = %v, store down = %v, want b alone and the store back", i.View().Targets, i.StoreDown())
		}
	})
}

// Another host forwards that a registration vanished, within the grace after an outage. A host that leaves reading to others must still end
// the grace on time, or it uses the upstream for a minute more.
func TestForwardedRemovalTakesEffectAtGraceEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		delegated := false
		i := start(t, s, func(i *intake.Intake) {
			i.ReadDelegated = s.lockedFlag(&delegated)
			i.Forwarded = s.takeForwarded
		})
		time.Sleep(3 * time.Second)
		s.update(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.update(func() { s.down, delegated = false, true })
		time.Sleep(1700 * time.Millisecond) // it has read again, and leaves reading to others
		s.update(func() {
			s.forwarded = []rows.Row{gone("a")}
			s.rows["up/"] = nil
		})
		i.ObserveMarks(marks.Marks{Targets: 1000})
		time.Sleep(2 * time.Second)
		if _, ok := i.View().Targets["a"]; ok {
			t.Error("a is still used 3.7 s after the store's return, want it gone")
		}
	})
}

// Hundreds of hosts retry the store the more rarely the more of them there are. The reader of a data centre finds it back first; if others
// waited for their own retry, they would use upstreams that have left for as much longer.
func TestReturnOfStoreIsLearntFromOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s, func(i *intake.Intake) { i.RetryDelay = func() time.Duration { return time.Hour } })
		time.Sleep(3 * time.Second)
		s.update(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.update(func() {
			s.down, s.compacted = false, true
			s.rows["up/"] = []rows.Row{reg("a")}
		})
		i.ObserveMarks(marks.Marks{Age: 100})
		time.Sleep(4 * time.Second)
		if _, ok := i.View().Targets["b"]; ok || i.StoreDown() {
			t.Errorf("upstreams = %v, store down = %v, want a alone and the store back", i.View().Targets, i.StoreDown())
		}
	})
}
