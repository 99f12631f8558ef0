package intake_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/intake"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/table"
	"damaskreach/internal/target"
)

// fakeStore is a store whose answers are set by the test.
type fakeStore struct {
	mu        sync.Mutex
	rows      map[string][]rows.Row // all rows by prefix
	down      bool
	compacted bool // the history is compacted
	latency   time.Duration
	calls     int        // calls for registrations, without those refused as compacted
	tails     int        // calls for changes of registrations
	forwarded []rows.Row // registrations that another host forwards
	rev       int64
}

func (s *fakeStore) table() table.Table {
	// Rows and revision are taken at one moment, like the store's: rows from before a restore must not get a revision from after it.
	answer := func(ctx context.Context, prefix string, tail bool) ([]rows.Row, int64, error) {
		s.mu.Lock()
		if tail && prefix == "up/" {
			s.tails++
		}
		if tail && s.compacted {
			s.mu.Unlock()
			return nil, 0, table.ErrCompacted
		}
		s.rev++
		slow, list, rev := s.latency, s.rows[prefix], s.rev
		if prefix == "up/" {
			s.calls++
		}
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(slow):
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down {
			return nil, 0, table.ErrDown
		}
		return list, rev, nil
	}
	list := func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
		return answer(ctx, prefix, false)
	}
	return table.Table{
		List: list,
		First: func(ctx context.Context, prefix string, limit int) ([]rows.Row, int64, bool, error) {
			rows, rev, err := list(ctx, prefix)
			return rows[:min(limit, len(rows))], rev, len(rows) > limit, err
		},
		Tail: func(ctx context.Context, prefix string, _ int64) ([]rows.Row, int64, error) {
			if prefix == "op/" {
				select {
				case <-ctx.Done():
				case <-time.After(time.Second):
				}
			}
			return answer(ctx, prefix, true)
		},
	}
}

// takeForwarded returns what another host forwards, once.
func (s *fakeStore) takeForwarded(prefix string, after int64) ([]rows.Row, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prefix != "up/" || s.forwarded == nil {
		return nil, 0, false
	}
	list := s.forwarded
	s.forwarded = nil
	return list, after + 10, true
}

func (s *fakeStore) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// lockedFlag returns a function that reads a flag under the lock.
func (s *fakeStore) lockedFlag(flag *bool) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return *flag
	}
}

func reg(key string) rows.Row { return rows.Row{Key: "up/" + key, Value: []byte("ok")} }

func gone(key string) rows.Row { return rows.Row{Key: "up/" + key, Gone: true} }

// start runs an intake; prepare functions modify it first.
func start(t *testing.T, s *fakeStore, prepare ...func(i *intake.Intake)) *intake.Intake {
	i := intake.NewIntake()
	i.Table, i.Conf, i.Targets, i.Log = s.table(), "op/", "up/", zap.NewNop()
	i.ReadInterval = func() time.Duration { return time.Second }
	i.RetryDelay = func() time.Duration { return 250 * time.Millisecond }
	i.Rules = func(row rows.Row) (rules.Rules, bool, error) {
		if len(row.Value) == 0 {
			return rules.Rules{}, false, errors.New("unreadable")
		}
		return rules.Rules{Version: int64(row.Value[0])}, true, nil
	}
	i.Target = func(row rows.Row) (target.Target, error) {
		if string(row.Value) != "ok" {
			return target.Target{}, errors.New("unreadable")
		}
		return target.Target{ID: row.Key[3:], Slots: 1}, nil
	}
	i.Version = func(rows.Row) (string, int, bool, error) { return "", 0, false, nil }
	for _, change := range prepare {
		change(i)
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	go i.RunConf(ctx)
	go i.RunTargets(ctx)
	return i
}
