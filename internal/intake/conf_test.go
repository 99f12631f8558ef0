package intake_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intake"
	"damaskreach/internal/marks"
	"damaskreach/internal/rows"
)

// The store answers with an older configuration after a newer one. Applied, it would route requests to the old upstreams again.
func TestOlderConfigurationIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"op/": {{Key: "op/config", Value: []byte{7}}}}}
		i := start(t, s)
		time.Sleep(3 * time.Second)
		s.update(func() { s.rows["op/"] = []rows.Row{{Key: "op/config", Value: []byte{5}}, {Key: "op/config"}} })
		time.Sleep(3 * time.Second)
		if got, want := i.View().Rules.Version, int64(7); got != want {
			t.Errorf("version = %d, want %d", got, want)
		}
	})
}

// A version found when a host starts may have been named at any time before. With a grace counted from the start, requests would
// begin on the older version after its time is over.
func TestVersionNamedBeforeStartHasNoGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"op/": {{Key: "op/old", Value: []byte{1}}}}}
		i := start(t, s, func(i *intake.Intake) {
			i.Version = func(row rows.Row) (string, int, bool, error) { return row.Key, 2, true, nil }
		})
		time.Sleep(3 * time.Second)
		s.update(func() { s.rows["op/"] = []rows.Row{{Key: "op/new", Value: []byte{2}}} })
		time.Sleep(1500 * time.Millisecond)
		v := i.View()
		if got := v.NamedAt["op/old"][2]; !got.IsZero() || v.Versions["op/old"] != 2 {
			t.Errorf("version named before the start: %d at %v, want 2 at an unknown time", v.Versions["op/old"], got)
		}
		if got := time.Since(v.NamedAt["op/new"][2]); got > 2*time.Second || v.Versions["op/new"] != 2 {
			t.Errorf("version named after the start: %d, %v ago, want 2 at most 2 s ago", v.Versions["op/new"], got)
		}
	})
}

// Guards against a host that keeps waiting at the store although another one reads, woken for a change that its own reading has brought.
func TestReadingWithReportedChangeClearsWake(t *testing.T) {
	const change, later = 50, 1000 // revisions
	for name, c := range map[string]struct{ reported, waits int64 }{"the change": {change, 1}, "a later one": {later, 2}} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeStore{rows: map[string][]rows.Row{"op/": {{Key: "op/config", Value: []byte{1}, Rev: 1}}}}
			var waits atomic.Int64
			i := start(t, s, func(i *intake.Intake) {
				i.ReadDelegated = func() bool { return waits.Load() > 0 }
				tail := i.Table.Tail
				i.Table.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
					if prefix == "op/" {
						waits.Add(1)
					}
					return tail(ctx, prefix, after)
				}
			})
			time.Sleep(500 * time.Millisecond) // the host waits for a change
			s.update(func() { s.rev, s.rows["op/"] = change, []rows.Row{{Key: "op/config", Value: []byte{2}, Rev: change}} })
			i.ObserveMarks(marks.Marks{Conf: c.reported})
			time.Sleep(time.Second)
			if got := waits.Load(); got != c.waits {
				t.Errorf("report of %s: waited at the store %d times, want %d", name, got, c.waits)
			}
		})
	}
}
