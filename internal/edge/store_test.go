//go:build !race

package edge_test

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

const (
	// callTime is how long the store takes for a call, narrowRowTime how long one row takes on a slow link.
	callTime      = 4 * time.Millisecond
	narrowRowTime = 400 * time.Microsecond
	// maxTailRows is the maximum of changes in one answer of the store.
	maxTailRows = 500
	// pageTimeout is how long the adapter lets one page of a list take.
	pageTimeout = 700 * time.Millisecond
	// confWatchTime is how long the store holds a read of the operators' rows until there is a change.
	confWatchTime = 2200 * time.Millisecond
	// confSlack is how much longer than confWatchTime the store adapter of package platform lets such a read take.
	confSlack = 400 * time.Millisecond
)

// store stands for the platform's store as package platform, its store adapter, presents it. It has a history of all changes.
type store struct {
	mu           sync.Mutex
	rows         map[string]rows.Row
	log          []rows.Row
	rev          int64 // of the newest change, including the store's era
	refused      map[string]bool
	readOnly     bool          // writes of hosts are refused
	silent       bool          // refused hosts get no answer at all
	delay        time.Duration // of each call beside its usual time
	rowTime      time.Duration // time that each row takes
	maxChanges   int           // in one answer
	compactedRev int64         // revision up to which the history is gone
	calls        int           // answered
	rowsServed   int           // in these answers
}

func newStore() *store {
	return &store{rows: map[string]rows.Row{}, refused: map[string]bool{}, rowTime: narrowRowTime, maxChanges: maxTailRows}
}

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(rows.Row{Key: key, Value: []byte(value), Rev: s.rev})
}

func (s *store) set(row rows.Row) {
	s.rows[row.Key] = row
	s.log = append(s.log, row)
}

// changes returns how many rows with a prefix were written so far.
func (s *store) changes(prefix string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.log {
		if strings.HasPrefix(row.Key, prefix) {
			count++
		}
	}
	return count
}

func (s *store) refuse(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[host] = on
}

// setFaults makes the store leave hosts that it refuses without an answer, or delays each call.
func (s *store) setFaults(silent bool, slow time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.delay = silent, slow
}

// setReadOnly makes the store refuse all writes of hosts, or ends that.
func (s *store) setReadOnly(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readOnly = on
}

// serveAll makes the store serve all hosts again.
func (s *store) serveAll() {
	s.setFaults(false, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.refused)
}

func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(rows.Row{Key: key, Rev: s.rev, Gone: true})
}

// compact drops the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRev = s.rev
}

// storeBackup is a copy of the store's content at a moment.
type storeBackup struct {
	rows map[string]rows.Row
	log  []rows.Row
	rev  int64
}

// backup returns a copy of the store's present content.
func (s *store) backup() storeBackup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeBackup{rows: maps.Clone(s.rows), log: slices.Clone(s.log), rev: s.rev}
}

// restore restores the store from a backup: later writes are lost, and a new era begins.
func (s *store) restore(from storeBackup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era, _ := rows.Era(s.rev)
	again := func(rev int64) int64 {
		_, number := rows.Era(rev)
		return rows.NewRev(era+1, number)
	}
	s.rev, s.rows, s.log = again(from.rev), map[string]rows.Row{}, nil
	for key, row := range from.rows {
		row.Rev = again(row.Rev)
		s.rows[key] = row
	}
	for _, row := range from.log {
		row.Rev = again(row.Rev)
		s.log = append(s.log, row)
	}
}

// isOlderEra reports whether a revision is of an era before the store's.
func (s *store) isOlderEra(rev int64) bool {
	now, _ := rows.Era(s.rev)
	era, _ := rows.Era(rev)
	return era < now
}

// call executes a host's call, unless the host is refused, and returns after the time that the answer takes.
func (s *store) call(ctx context.Context, host string, do func() (list []rows.Row, err error)) error {
	s.mu.Lock()
	refused, silent, slow, row := s.refused[host], s.silent, s.delay, s.rowTime
	var list []rows.Row
	var err error
	if !refused {
		list, err = do()
		s.calls++
		s.rowsServed += len(list)
	}
	s.mu.Unlock()
	takes := callTime + slow + time.Duration(len(list))*row
	if refused && silent {
		takes = time.Hour
	}
	select {
	case <-ctx.Done():
		return table.ErrLost
	case <-time.After(takes):
	}
	if refused {
		return table.ErrDown
	}
	return err
}

// table returns the store as one host reaches it.
func (s *store) table(host string) table.Table {
	return table.Table{
		Read: func(ctx context.Context, key string) (row rows.Row, err error) {
			err = s.call(ctx, host, func() ([]rows.Row, error) {
				found, ok := s.rows[key]
				if !ok {
					return nil, table.ErrAbsent
				}
				row = found
				return nil, nil
			})
			return row, err
		},
		List: func(ctx context.Context, prefix string) (list []rows.Row, rev int64, err error) {
			ctx, cancel := context.WithTimeout(ctx, s.listFor())
			defer cancel()
			err = s.call(ctx, host, func() ([]rows.Row, error) {
				rev = s.rev
				for key, row := range s.rows {
					if strings.HasPrefix(key, prefix) && !row.Gone {
						list = append(list, row)
					}
				}
				return list, nil
			})
			return list, rev, err
		},
		First: func(ctx context.Context, prefix string, limit int) (list []rows.Row, rev int64, more bool, err error) {
			err = s.call(ctx, host, func() ([]rows.Row, error) {
				rev = s.rev
				list, more = s.firstRows(prefix, limit)
				return list, nil
			})
			return list, rev, more, err
		},
		Write: func(ctx context.Context, edits ...rows.Row) (rev int64, err error) {
			err = s.call(ctx, host, func() ([]rows.Row, error) {
				if s.readOnly {
					return nil, table.ErrDown
				}
				rev, err = s.commit(edits)
				return nil, err
			})
			return rev, err
		},
		Tail: func(ctx context.Context, prefix string, after int64) (list []rows.Row, rev int64, err error) {
			if prefix == "op/" {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, confWatchTime+confSlack)
				defer cancel()
			}
			s.waitForChange(ctx, prefix, after)
			err = s.call(ctx, host, func() ([]rows.Row, error) {
				if s.isOlderEra(after) {
					return nil, table.ErrCompacted
				}
				list, rev = s.since(prefix, after), s.rev
				if len(list) > s.maxChanges || after < s.compactedRev {
					return list[:min(s.maxChanges, len(list))], table.ErrCompacted
				}
				return list, nil
			})
			return list, rev, err
		},
	}
}

// firstRows returns the first rows under a prefix in the order of their keys, and whether there are more.
func (s *store) firstRows(prefix string, limit int) (list []rows.Row, more bool) {
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && !row.Gone {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b rows.Row) int { return strings.Compare(a.Key, b.Key) })
	return list[:min(limit, len(list))], len(list) > limit
}

// count returns the calls and rows since it was last called.
func (s *store) count() (calls, served int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, served = s.calls, s.rowsServed
	s.calls, s.rowsServed = 0, 0
	return calls, served
}

// listFor is how long the adapter lets a list take: pageTimeout for each page.
func (s *store) listFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(1+len(s.rows)/s.maxChanges) * pageTimeout
}

// waitForChange holds a read of the operators' rows until there is a change.
func (s *store) waitForChange(ctx context.Context, prefix string, after int64) {
	if prefix != "op/" {
		return
	}
	until := time.Now().Add(confWatchTime)
	for ctx.Err() == nil && time.Now().Before(until) {
		s.mu.Lock()
		changed := s.isOlderEra(after) || len(s.since(prefix, after)) > 0
		s.mu.Unlock()
		if changed {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (s *store) since(prefix string, after int64) []rows.Row {
	var list []rows.Row
	for i := len(s.log) - 1; i >= 0 && s.log[i].Rev > after; i-- {
		if strings.HasPrefix(s.log[i].Key, prefix) {
			list = append([]rows.Row{s.log[i]}, list...)
		}
	}
	return list
}

func (s *store) commit(edits []rows.Row) (int64, error) {
	for _, e := range edits {
		if now := s.rows[e.Key]; e.Rev != rows.AnyRev && now.Rev != e.Rev {
			return 0, table.NewConflict([]string{e.Key})
		}
	}
	s.rev++
	for _, e := range edits {
		if !e.CheckOnly {
			e.Rev = s.rev
			s.set(e)
		}
	}
	return s.rev, nil
}
