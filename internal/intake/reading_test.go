package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intake"
	"damaskreach/internal/marks"
	"damaskreach/internal/rows"
)

// The store lets a host wait for nothing, while another host passes on that an upstream has left. Were that taken only once the call has
// failed, the host would use the upstream for most of a second more.
func TestPassedOnChangesWaitForNoSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s, func(i *intake.Intake) { i.Passed = s.passed })
		time.Sleep(2900 * time.Millisecond)
		s.set(func() { s.slow, s.down = time.Hour, true })
		time.Sleep(150 * time.Millisecond) // a reading has begun
		s.set(func() { s.pass = []rows.Row{gone("a")} })
		i.Wake(marks.Marks{Targets: 1000})
		synctest.Wait()
		if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want b alone at once", i.View().Targets)
		}
	})
}

// A host let another one read for half a minute, and reads again. By then each upstream has registered dozens of times: changes come to many
// times what a list of all has, more than the store returns, so that the list would follow and the host know late.
func TestHostFarBehindListsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		relaxed := false
		i := start(t, s, func(i *intake.Intake) {
			i.Relaxed = s.reads(&relaxed)
		})
		time.Sleep(3 * time.Second)
		s.set(func() { relaxed = true })
		time.Sleep(30 * time.Second)
		s.set(func() { s.gone, s.asks, s.tails = true, 0, 0 })
		i.Wake(marks.Marks{Targets: 1000})
		time.Sleep(100 * time.Millisecond)
		s.set(func() {
			if s.asks != 1 || s.tails != 0 {
				t.Errorf("asked for %d lists after %d times for changes, want one list alone", s.asks, s.tails)
			}
		})
	})
}
