package facts_test

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/facts"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

// site is a store and what one host knows.
type site struct {
	mu     sync.Mutex
	stored map[string]string
	known  map[string]string
	down   bool // the store does not answer
	calls  int
}

func (s *site) list(ctx context.Context, _ string) (list []rows.Row, rev int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return nil, 0, ctx.Err()
	}
	for key, value := range s.stored {
		list = append(list, rows.Row{Key: key, Value: []byte(value)})
	}
	return list, 1, nil
}

func (s *site) write(_ context.Context, edits ...rows.Row) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for _, row := range edits {
		if row.Gone {
			delete(s.stored, row.Key)
		} else {
			s.stored[row.Key] = string(row.Value)
		}
	}
	return 1, nil
}

func (s *site) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// wantRows checks the rows of the store.
func (s *site) wantRows(t *testing.T, want map[string]string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !maps.Equal(s.stored, want) {
		t.Errorf("rows = %v, want %v", s.stored, want)
	}
}

func (s *site) set(m map[string]string, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m[key] = value
}

// newFacts returns the facts of a host of the site that writes for all; peer is what another host tells, nil for none.
func newFacts(s *site, peer map[string]string) *facts.Facts {
	return &facts.Facts{
		Table: table.Table{List: s.list, Write: s.write}, Prefix: "facts/", IsWriter: func() bool { return true },
		FromPeers: func(context.Context) (list []rows.Row, ok bool) {
			for key, value := range peer {
				list = append(list, rows.Row{Key: key, Value: []byte(value)})
			}
			return list, peer != nil
		},
		Known: func() map[string]string {
			s.mu.Lock()
			defer s.mu.Unlock()
			return maps.Clone(s.known)
		},
		Learn: func(stored map[string]string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			maps.Copy(s.known, stored)
		},
		RetryDelay: func() time.Duration { return 100 * time.Millisecond }, Log: zap.NewNop(),
	}
}

// run runs the facts of one host for a while.
func run(t *testing.T, stored, peer map[string]string, down bool, body func(s *site, f *facts.Facts)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := &site{stored: stored, known: map[string]string{}, down: down}
		f := newFacts(s, peer)
		go f.Run(ctx)
		body(s, f)
		cancel()
		synctest.Wait()
	})
}

// Another host wrote a row before this one began to write. Removed as unknown, the fact would be lost with the next loss of all hosts.
func TestUnknownRowsAreLearnedBeforeAnyIsRemoved(t *testing.T) {
	run(t, map[string]string{"facts/a": "1"}, nil, false, func(s *site, _ *facts.Facts) {
		time.Sleep(2 * time.Second)
		s.set(s.stored, "facts/b", "2")
		s.set(s.known, "facts/c", "3")
		time.Sleep(2 * time.Second)
		s.wantRows(t, map[string]string{"facts/a": "1", "facts/b": "2", "facts/c": "3"})
		s.mu.Lock()
		delete(s.known, "facts/a")
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		s.wantRows(t, map[string]string{"facts/b": "2", "facts/c": "3"})
	})
}

// A host starts while the store does not answer. Another host tells it the facts; without one it must not act as if there were none.
func TestFactsComeFromAnotherHostWhileTheStoreIsAway(t *testing.T) {
	for _, peer := range []map[string]string{{"facts/a": "1"}, nil} {
		run(t, nil, peer, true, func(_ *site, f *facts.Facts) {
			time.Sleep(time.Second)
			if got, want := f.Restored(), peer != nil; got != want {
				t.Errorf("restored = %v with %v from another host, want %v", got, peer, want)
			}
			if _, ok := f.Rows(); ok != (peer != nil) {
				t.Errorf("tells facts: %v with %v from another host, want that only of known ones", ok, peer)
			}
		})
	}
}

// Nothing changes for an hour. The store must not be asked more than twice a minute for it.
func TestUnchangedFactsCostFewCalls(t *testing.T) {
	run(t, map[string]string{"facts/a": "1"}, nil, false, func(s *site, _ *facts.Facts) {
		time.Sleep(time.Minute)
		before := s.callCount()
		time.Sleep(time.Hour)
		if got, want := s.callCount()-before, 120; got > want {
			t.Errorf("%d calls in an hour, want %d at most", got, want)
		}
	})
}
