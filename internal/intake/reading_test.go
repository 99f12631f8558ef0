package intake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intake"
	"damaskreach/internal/marks"
	"damaskreach/internal/rows"
)

// Another host forwards that an upstream has left while the store is silent. Applied only when the call has failed, the host would use the
// upstream for most of a second more.
func TestForwardedChangesApplyWhileStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		i := start(t, s, func(i *intake.Intake) { i.Forwarded = s.takeForwarded })
		time.Sleep(2900 * time.Millisecond)
		s.update(func() { s.latency, s.down = time.Hour, true })
		time.Sleep(150 * time.Millisecond) // a reading has begun
		s.update(func() { s.forwarded = []rows.Row{gone("a")} })
		i.ObserveMarks(marks.Marks{Targets: 1000})
		synctest.Wait()
		if _, ok := i.View().Targets["a"]; ok || len(i.View().Targets) != 1 {
			t.Errorf("upstreams = %v, want b alone at once", i.View().Targets)
		}
	})
}

// After half a minute of delegation each upstream has registered dozens of times: the changes outnumber a list of all, and exceed what the
// store returns. A host that asked for them first would have to list afterwards, and know late.
func TestHostFarBehindListsWithoutTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {reg("a"), reg("b")}}}
		delegated := false
		i := start(t, s, func(i *intake.Intake) {
			i.ReadDelegated = s.lockedFlag(&delegated)
		})
		time.Sleep(3 * time.Second)
		s.update(func() { delegated = true })
		time.Sleep(30 * time.Second)
		s.update(func() { s.compacted, s.calls, s.tails = true, 0, 0 })
		i.ObserveMarks(marks.Marks{Targets: 1000})
		time.Sleep(100 * time.Millisecond)
		s.update(func() {
			if s.calls != 1 || s.tails != 0 {
				t.Errorf("%d answered calls, %d calls for changes, want one list alone", s.calls, s.tails)
			}
		})
	})
}
