package spool_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/began"
	"damaskreach/internal/rows"
	"damaskreach/internal/spool"
	"damaskreach/internal/table"
)

var errDown = errors.New("the store is down")

// store keeps rows and counts writes.
type store struct {
	mu     sync.Mutex
	rows   map[string]rows.Row
	writes int
	down   bool
}

func (s *store) table() table.Table {
	return table.Table{
		List: func(context.Context, string) (list []rows.Row, rev int64, err error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, row := range s.rows {
				list = append(list, row)
			}
			return list, 1, nil
		},
		Write: func(_ context.Context, edits ...rows.Row) (int64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down {
				return 0, errDown
			}
			s.writes++
			for _, row := range edits {
				if row.Gone {
					delete(s.rows, row.Key)
				} else {
					s.rows[row.Key] = row
				}
			}
			return 1, nil
		},
	}
}

// count returns the writes so far and the rows that there are.
func (s *store) count() (writes, stored int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, len(s.rows)
}

// change changes the store.
func (s *store) change(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
}

func newSpool(s *store, host string, hosts int) *spool.Spool {
	return &spool.Spool{Table: s.table(), Prefix: "began/", Host: host, Writers: func() int { return hosts }, Log: zap.NewNop()}
}

func stream(n int) began.Began {
	return began.Began{Attempt: fmt.Sprint("r", n), Group: "g", Build: "v1"}
}

// load returns the attempts of the streams that a host reads at its start.
func load(t *testing.T, s *store) (attempts []string) {
	t.Helper()
	streams, err := newSpool(s, "other", 1).Load(t.Context())
	if err != nil {
		t.Fatalf("Load() = %v, want nil", err)
	}
	for _, b := range streams {
		attempts = append(attempts, b.Attempt)
	}
	slices.Sort(attempts)
	return attempts
}

// run runs body while a host writes.
func run(t *testing.T, hosts int, body func(t *testing.T, s *store, host *spool.Spool)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &store{rows: map[string]rows.Row{}}
		host := newSpool(s, "a", hosts)
		go host.Run(ctx)
		body(t, s, host)
		cancel()
		synctest.Wait()
	})
}

// Streams begin while the store is away for some seconds, and then all hosts are killed. Those that were written down afterwards must be found.
func TestStreamsAreWrittenOnceTheStoreIsBack(t *testing.T) {
	run(t, 6, func(t *testing.T, s *store, host *spool.Spool) {
		s.change(func() { s.down = true })
		for n := range 3 {
			host.Add([]began.Began{stream(n)})
			time.Sleep(time.Second)
		}
		s.change(func() { s.down = false })
		time.Sleep(1500 * time.Millisecond)
		if got, want := load(t, s), []string{"r0", "r1", "r2"}; !slices.Equal(got, want) {
			t.Errorf("streams = %q, want %q", got, want)
		}
	})
}

// Streams begin for an hour. Rows, and what is read at a start, must stay bounded, and calls must not grow with streams or hosts.
func TestRowsAndCallsAreBounded(t *testing.T) {
	for _, c := range []struct{ hosts, writes, streams int }{{6, 12000, 620}, {1000, 180, 800}} { // ten a second for a minute and an interval
		run(t, c.hosts, func(t *testing.T, s *store, host *spool.Spool) {
			for n := range 36000 {
				host.Add([]began.Began{stream(n)})
				time.Sleep(100 * time.Millisecond)
			}
			writes, stored := s.count()
			if writes > c.writes+1 || stored > 64 {
				t.Errorf("%d hosts: %d writes of one in an hour and %d rows, want %d and 64 at most", c.hosts, writes, stored, c.writes)
			}
			if got, want := len(load(t, s)), c.streams; got > want {
				t.Errorf("%d streams are read, want %d at most", got, want)
			}
			for range 2 {
				_, before := s.count()
				empty, err := host.Clear(t.Context())
				if _, left := s.count(); err != nil || empty != (before == 0) || left > 0 {
					t.Errorf("Clear() of %d rows = %v, %v and leaves %d, want none", before, empty, err, left)
				}
			}
		})
	}
}

// A row was damaged, or is of other software. The rest must be read.
func TestDamagedRowIsSkipped(t *testing.T) {
	run(t, 1, func(t *testing.T, s *store, host *spool.Spool) {
		host.Add([]began.Began{stream(1)})
		time.Sleep(1500 * time.Millisecond)
		s.change(func() { s.rows["began/b/00"] = rows.Row{Key: "began/b/00", Value: []byte(strings.Repeat("\xc1", 9))} })
		if got, want := load(t, s), []string{"r1"}; !slices.Equal(got, want) {
			t.Errorf("streams = %q, want %q", got, want)
		}
	})
}
