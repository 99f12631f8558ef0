package intake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intake"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/target"
)

// regWritten returns a registration with its upstream's incarnation and the revision at which it was written.
func regWritten(key string, born byte, rev int64) rows.Row {
	return rows.Row{Key: "up/" + key, Value: []byte{born}, Rev: rev}
}

// startWithIncarnations runs an intake that decodes the incarnation of upstreams.
func startWithIncarnations(t *testing.T, s *fakeStore) *intake.Intake {
	return start(t, s, func(i *intake.Intake) {
		i.Target = func(row rows.Row) (target.Target, error) {
			return target.Target{ID: row.Key[3:], Incarnation: int64(row.Value[0]), Slots: 1}, nil
		}
	})
}

// restore starts a new era of the store, as after a restore from a backup, with other rows.
func (s *fakeStore) restore(list ...rows.Row) {
	s.update(func() {
		era, number := rows.Era(s.rev)
		s.rev, s.compacted = rows.NewRev(era+1, number), true
		s.rows["up/"] = list
	})
}

// currentRow returns an upstream's registration as written at the next revision.
func (s *fakeStore) currentRow(key string, born byte) rows.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return regWritten(key, born, s.rev+1)
}

// An upstream has restarted, and the backup holds its earlier registration. Applied, requests would go to its old address.
func TestRestoredStoreDoesNotRevertIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {regWritten("a", 2, 1)}}}
		i := startWithIncarnations(t, s)
		time.Sleep(3 * time.Second)
		s.restore(regWritten("a", 1, rows.NewRev(1, 1)))
		time.Sleep(1500 * time.Millisecond)
		if got, want := i.View().Targets["a"].Incarnation, int64(2); got != want {
			t.Errorf("incarnation = %d, want %d: the backup is older", got, want)
		}
		s.update(func() { s.rows["up/"] = nil })
		again := s.currentRow("a", 3)
		s.update(func() { s.rows["up/"] = []rows.Row{again} })
		time.Sleep(1500 * time.Millisecond)
		if got, want := i.View().Targets["a"].Incarnation, int64(3); got != want {
			t.Errorf("incarnation = %d, want %d: it was written after the restore", got, want)
		}
	})
}

// The backup holds an upstream that the host does not know and that is not written again. Held back forever, it would get no request.
func TestHeldBackRegistrationIsAppliedAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {regWritten("a", 1, 1)}}}
		i := startWithIncarnations(t, s)
		time.Sleep(3 * time.Second)
		s.restore(regWritten("a", 1, rows.NewRev(1, 1)), regWritten("b", 1, rows.NewRev(1, 1)))
		time.Sleep(3 * time.Second)
		if got, want := len(i.View().Targets), 1; got != want {
			t.Errorf("upstreams = %d after 3 s, want %d", got, want)
		}
		time.Sleep(6 * time.Second)
		if got, want := len(i.View().Targets), 2; got != want {
			t.Errorf("upstreams = %d after 9 s, want %d", got, want)
		}
	})
}

// After a restore the store has no history of what changed before. A host that took this for too many changes in one answer would list all
// registrations at every reading from then on.
func TestHostReadsChangesAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"up/": {regWritten("a", 1, 1), regWritten("b", 1, 1)}}}
		startWithIncarnations(t, s)
		time.Sleep(3500 * time.Millisecond)
		s.restore(regWritten("a", 1, rows.NewRev(1, 1)), regWritten("b", 1, rows.NewRev(1, 1)))
		time.Sleep(time.Second) // time for one reading
		s.update(func() { s.compacted, s.calls, s.tails = false, 0, 0 })
		time.Sleep(5 * time.Second)
		s.update(func() {
			if s.tails < 4 || s.calls > 6 {
				t.Errorf("%d calls in 5 s, %d of them for changes, want changes alone", s.calls, s.tails)
			}
		})
	})
}

// The store answers with a lower revision in the same era. A host that retried without a delay would do little else.
func TestRejectedReadingIsRetriedAfterDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeStore{rows: map[string][]rows.Row{"op/": {{Key: "op/config", Value: []byte{7}}}}, rev: 100}
		lists := 0
		start(t, s, func(i *intake.Intake) {
			list, tail := i.Table.List, i.Table.Tail
			i.Table.List = func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
				found, rev, err := list(ctx, prefix)
				s.mu.Lock()
				defer s.mu.Unlock()
				if prefix == "op/" && s.compacted {
					lists++
					return found, 50, err
				}
				return found, rev, err
			}
			i.Table.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
				s.mu.Lock()
				gone := s.compacted
				s.mu.Unlock()
				if gone {
					select {
					case <-ctx.Done():
					case <-time.After(5 * time.Millisecond):
					}
					return nil, 0, table.ErrCompacted
				}
				return tail(ctx, prefix, after)
			}
		})
		time.Sleep(3 * time.Second)
		s.update(func() { s.compacted = true })
		time.Sleep(6 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if got, want := lists, 24; got > want || got == 0 {
			t.Errorf("listed the configuration %d times in 6 s, want %d at most: a pause of 250 ms between two", got, want)
		}
	})
}
