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

// source is a store whose answers are set by the test.
type source struct {
	mu    sync.Mutex
	rows  map[string][]rows.Row // all rows by prefix
	down  bool
	gone  bool // the history is gone
	slow  time.Duration
	asks  int        // calls about upstreams that it answered
	tails int        // times it was asked what changed of them
	pass  []rows.Row // registrations that another host passes on
	rev   int64
}

func (s *source) table() table.Table {
	// An answer is of one moment, like the store's: rows of before the store came back don't bear a revision of after it.
	answer := func(ctx context.Context, prefix string, tail bool) ([]rows.Row, int64, error) {
		s.mu.Lock()
		if tail && prefix == "up/" {
			s.tails++
		}
		if tail && s.gone {
			s.mu.Unlock()
			return nil, 0, table.ErrCompacted
		}
		s.rev++
		slow, list, rev := s.slow, s.rows[prefix], s.rev
		if prefix == "up/" {
			s.asks++
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

// passed returns once what another host passes on.
func (s *source) passed(prefix string, after int64) ([]rows.Row, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prefix != "up/" || s.pass == nil {
		return nil, 0, false
	}
	list := s.pass
	s.pass = nil
	return list, after + 10, true
}

func (s *source) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// reads returns a function that reads what the test sets under the lock.
func (s *source) reads(flag *bool) func() bool {
	return func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return *flag
	}
}

func reg(key string) rows.Row { return rows.Row{Key: "up/" + key, Value: []byte("ok")} }

func gone(key string) rows.Row { return rows.Row{Key: "up/" + key, Gone: true} }

// start runs an intake; prepare changes it before.
func start(t *testing.T, s *source, prepare ...func(i *intake.Intake)) *intake.Intake {
	i := intake.NewIntake()
	i.Table, i.Conf, i.Targets, i.Log = s.table(), "op/", "up/", zap.NewNop()
	i.Every = func() time.Duration { return time.Second }
	i.Pause = func() time.Duration { return 250 * time.Millisecond }
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
