package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intake"
	"damaskreach/internal/marks"
	"damaskreach/internal/rows"
)

// The store was away, and registrations lapsed meanwhile though the upstreams live. Dropped at once, every request would be
// refused until they have registered again; those that do not come back are dropped all the same.
func TestUpstreamsThatLapsedWithTheStoreGetTimeToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.set(func() {
			s.down, s.gone = false, true
			s.rows["up/"] = nil
		})
		time.Sleep(1500 * time.Millisecond)
		if got, want := len(i.View().Targets), 2; got != want {
			t.Fatalf("upstreams = %d, want %d", got, want)
		}
		s.set(func() { s.rows["up/"] = []rows.Row{reg("b")} })
		time.Sleep(3 * time.Second)
		if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want b alone", i.View().Targets)
		}
	})
}

// The store is back and an upstream's registration vanishes a second later. It gets no time of its own: what is missing 2.2 s after
// the return is gone, also where the next regular reading would come later. Counted from when it was missed, requests went
// to an engine that had begun to leave three seconds before.
func TestUpstreamThatVanishesAfterTheReturnGetsNoMoreTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.set(func() { s.down = false })
		time.Sleep(800 * time.Millisecond) // within which the host has read again
		s.set(func() { s.rows["up/"] = []rows.Row{gone("a")} })
		time.Sleep(1900 * time.Millisecond)
		if _, ok := i.View().Targets["a"]; ok {
			t.Error("a is still used 2.7 s after the store's return, want it gone")
		}
		if _, ok := i.View().Targets["b"]; !ok {
			t.Error("b is not used any more, want it used")
		}
	})
}

// The store turns a host away for seconds while it serves the others, which go on telling it how far they have read. Nothing lapses meanwhile:
// an upstream that vanishes after the host's return is gone at once. And the host need not ask the store at each message: hundreds
// that did would be most of its calls.
func TestHostThatIsTurnedAwayTakesThatForNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s, func(i *intake.Intake) { i.Pause = func() time.Duration { return time.Second } })
		time.Sleep(3 * time.Second)
		s.set(func() { s.down, s.asks = true, 0 })
		for range 40 {
			time.Sleep(200 * time.Millisecond)
			i.Wake(marks.Marks{Age: 300})
		}
		s.set(func() {
			if got, want := s.asks, 2*9; got > want { // a list may follow a tail
				t.Errorf("asked the store %d times in 8 s, want %d at most", got, want)
			}
			s.down = false
		})
		time.Sleep(1100 * time.Millisecond)
		s.set(func() { s.rows["up/"] = []rows.Row{gone("a")} })
		time.Sleep(1100 * time.Millisecond)
		if _, ok := i.View().Targets["a"]; ok || i.Away() {
			t.Errorf("upstreams = %v, away = %v, want b alone and the store back", i.View().Targets, i.Away())
		}
	})
}

// The store is back, and another host passes on that a registration has vanished, within the time that upstreams get to register again.
// The host lets others read, and must end that time all the same, or it uses the upstream for a minute more.
func TestPassedOnLossEndsWithTheTimeToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		relaxed := false
		i := start(t, s, func(i *intake.Intake) {
			i.Relaxed = s.reads(&relaxed)
			i.Passed = s.passed
		})
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.set(func() { s.down, relaxed = false, true })
		time.Sleep(1700 * time.Millisecond) // it has read again, and rests
		s.set(func() {
			s.pass = []rows.Row{gone("a")}
			s.rows["up/"] = nil
		})
		i.Wake(marks.Marks{Targets: 1000})
		time.Sleep(2 * time.Second)
		if _, ok := i.View().Targets["a"]; ok {
			t.Error("a is still used 3.7 s after the store's return, want it gone")
		}
	})
}

// The store was away from hundreds of hosts, which try it the more rarely the more of them there are. The host that reads for a
// data centre finds it back first; the others must not wait for their own next try, or they would use upstreams that have left
// since for as much longer.
func TestReturnOfTheStoreIsLearntFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s, func(i *intake.Intake) { i.Pause = func() time.Duration { return time.Hour } })
		time.Sleep(3 * time.Second)
		s.set(func() { s.down = true })
		time.Sleep(5 * time.Second)
		s.set(func() {
			s.down, s.gone = false, true
			s.rows["up/"] = []rows.Row{reg("a")}
		})
		i.Wake(marks.Marks{Age: 100})
		time.Sleep(4 * time.Second)
		if _, ok := i.View().Targets["b"]; ok || i.Away() {
			t.Errorf("upstreams = %v, away = %v, want a alone and the store back", i.View().Targets, i.Away())
		}
	})
}
