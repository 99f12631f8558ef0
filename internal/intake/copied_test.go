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

// written returns a registration that names when its upstream started, and at which revision it was written.
func written(key string, born byte, rev int64) rows.Row {
	return rows.Row{Key: "up/" + key, Value: []byte{born}, Rev: rev}
}

// startBorn runs an intake whose registrations name when their upstreams started.
func startBorn(t *testing.T, s *source) *intake.Intake {
	return start(t, s, func(i *intake.Intake) {
		i.Target = func(row rows.Row) (target.Target, error) {
			return target.Target{ID: row.Key[3:], Incarnation: int64(row.Value[0]), Slots: 1}, nil
		}
	})
}

// comeBack has the store come back from a copy with other rows.
func (s *source) comeBack(list ...rows.Row) {
	s.set(func() {
		era, number := rows.Era(s.rev)
		s.rev, s.gone = rows.NewRev(era+1, number), true
		s.rows["up/"] = list
	})
}

// now returns the store's row of an upstream as it is written now.
func (s *source) now(key string, born byte) rows.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return written(key, born, s.rev+1)
}

// An upstream has started again, and the copy has its registration of before. Requests would go where it no longer is.
func TestRestartedUpstreamStaysSoAfterACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {written("a", 2, 1)}}}
		i := startBorn(t, s)
		time.Sleep(3 * time.Second)
		s.comeBack(written("a", 1, rows.NewRev(1, 1)))
		time.Sleep(1500 * time.Millisecond)
		if got, want := i.View().Targets["a"].Incarnation, int64(2); got != want {
			t.Errorf("started at %d, want %d: the copy is older", got, want)
		}
		s.set(func() { s.rows["up/"] = nil })
		again := s.now("a", 3)
		s.set(func() { s.rows["up/"] = []rows.Row{again} })
		time.Sleep(1500 * time.Millisecond)
		if got, want := i.View().Targets["a"].Incarnation, int64(3); got != want {
			t.Errorf("started at %d, want %d: it was written after the return", got, want)
		}
	})
}

// An upstream that a host does not know is in the copy and is not written again. Held back for ever, it would never get a request.
func TestRegistrationOfACopyIsTakenInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {written("a", 1, 1)}}}
		i := startBorn(t, s)
		time.Sleep(3 * time.Second)
		s.comeBack(written("a", 1, rows.NewRev(1, 1)), written("b", 1, rows.NewRev(1, 1)))
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

// The store comes back from a copy, and what changed before cannot be told. Taken for too many changes in one answer, the host would have the store
// send all registrations with every reading from there on.
func TestHostAsksForChangesAgainAfterACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"up/": {written("a", 1, 1), written("b", 1, 1)}}}
		startBorn(t, s)
		time.Sleep(3500 * time.Millisecond)
		s.comeBack(written("a", 1, rows.NewRev(1, 1)), written("b", 1, rows.NewRev(1, 1)))
		time.Sleep(time.Second) // within which there is one reading
		s.set(func() { s.gone, s.asks, s.tails = false, 0, 0 })
		time.Sleep(5 * time.Second)
		s.set(func() {
			if s.tails < 4 || s.asks > 6 {
				t.Errorf("asked %d times in 5 s, %d times for changes, want changes alone", s.asks, s.tails)
			}
		})
	})
}

// The store says less than it did and names no new era. Asked again without a pause, it would have little else to do.
func TestReadingThatIsNotTakenIsFollowedByAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{rows: map[string][]rows.Row{"op/": {{Key: "op/config", Value: []byte{7}}}}, rev: 100}
		lists := 0
		start(t, s, func(i *intake.Intake) {
			list, tail := i.Table.List, i.Table.Tail
			i.Table.List = func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
				found, rev, err := list(ctx, prefix)
				s.mu.Lock()
				defer s.mu.Unlock()
				if prefix == "op/" && s.gone {
					lists++
					return found, 50, err
				}
				return found, rev, err
			}
			i.Table.Tail = func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
				s.mu.Lock()
				gone := s.gone
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
		s.set(func() { s.gone = true })
		time.Sleep(6 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if got, want := lists, 24; got > want || got == 0 {
			t.Errorf("listed the configuration %d times in 6 s, want %d at most: a pause of 250 ms between two", got, want)
		}
	})
}
