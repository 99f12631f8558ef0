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
	// callTakes is how long the store takes for a call, and rowTakes the part of a narrow link that one row takes.
	callTakes = 4 * time.Millisecond
	rowTakes  = 400 * time.Microsecond
	// mostRows is how many changes the store has in one answer.
	mostRows = 500
	// pageFor is how long the adapter lets one page of a list take.
	pageFor = 700 * time.Millisecond
	// confWait is how long it keeps a reading of the operators' rows waiting for a change.
	confWait = 2200 * time.Millisecond
	// confSlack is how much longer the adapter lets it take.
	confSlack = 400 * time.Millisecond
)

// store is the platform's store as its adapter shows it, with a history of every change.
type store struct {
	mu      sync.Mutex
	rows    map[string]rows.Row
	log     []rows.Row
	rev     int64 // of the newest change, with the store's era
	refused map[string]bool
	silent  bool          // it answers nothing to those that it refuses
	slow    time.Duration // that each call takes beside its usual time
	row     time.Duration // that each row takes
	most    int           // changes that it has in one answer
	lost    int64         // revision up to which the history is gone
	calls   int           // that it has answered
	served  int           // rows in these answers
}

func newStore() *store {
	return &store{rows: map[string]rows.Row{}, refused: map[string]bool{}, row: rowTakes, most: mostRows}
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

func (s *store) refuse(host string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[host] = on
}

// harm has the store let hosts that it refuses wait for nothing, or take longer for each call.
func (s *store) harm(silent bool, slow time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.slow = silent, slow
}

// serve takes all hosts again.
func (s *store) serve() {
	s.harm(false, 0)
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

// forget drops the history.
func (s *store) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = s.rev
}

// stored is a copy of what the store had at a moment.
type stored struct {
	rows map[string]rows.Row
	log  []rows.Row
	rev  int64
}

// copied returns a copy of what the store has now.
func (s *store) copied() stored {
	s.mu.Lock()
	defer s.mu.Unlock()
	return stored{rows: maps.Clone(s.rows), log: slices.Clone(s.log), rev: s.rev}
}

// comeBack brings the store back with what a copy has: what was written since is gone, and a new era begins.
func (s *store) comeBack(from stored) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era, _ := rows.Era(s.rev)
	again := func(rev int64) int64 {
		_, number := rows.Era(rev)
		return rows.At(era+1, number)
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

// older reports whether a revision is of an era before the store's.
func (s *store) older(rev int64) bool {
	now, _ := rows.Era(s.rev)
	era, _ := rows.Era(rev)
	return era < now
}

// call does what a host asks for, unless it is turned away, and lets the answer take its time.
func (s *store) call(ctx context.Context, host string, do func() (list []rows.Row, err error)) error {
	s.mu.Lock()
	refused, silent, slow, row := s.refused[host], s.silent, s.slow, s.row
	var list []rows.Row
	var err error
	if !refused {
		list, err = do()
		s.calls++
		s.served += len(list)
	}
	s.mu.Unlock()
	takes := callTakes + slow + time.Duration(len(list))*row
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
				list, more = s.first(prefix, limit)
				return list, nil
			})
			return list, rev, more, err
		},
		Write: func(ctx context.Context, edits ...rows.Row) (rev int64, err error) {
			err = s.call(ctx, host, func() ([]rows.Row, error) {
				rev, err = s.commit(edits)
				return nil, err
			})
			return rev, err
		},
		Tail: func(ctx context.Context, prefix string, after int64) (list []rows.Row, rev int64, err error) {
			if prefix == "op/" {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, confWait+confSlack)
				defer cancel()
			}
			s.await(ctx, prefix, after)
			err = s.call(ctx, host, func() ([]rows.Row, error) {
				if s.older(after) {
					return nil, table.ErrCompacted
				}
				list, rev = s.since(prefix, after), s.rev
				if len(list) > s.most || after < s.lost {
					return list[:min(s.most, len(list))], table.ErrCompacted
				}
				return list, nil
			})
			return list, rev, err
		},
	}
}

// first returns the first rows under a prefix by their keys, and whether there are more.
func (s *store) first(prefix string, limit int) (list []rows.Row, more bool) {
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && !row.Gone {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b rows.Row) int { return strings.Compare(a.Key, b.Key) })
	return list[:min(limit, len(list))], len(list) > limit
}

// count returns how many calls and rows there were since it was asked last.
func (s *store) count() (calls, served int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls, served = s.calls, s.served
	s.calls, s.served = 0, 0
	return calls, served
}

// listFor is how long the adapter lets a list take: as long as a page may, for each.
func (s *store) listFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(1+len(s.rows)/s.most) * pageFor
}

// await keeps a reading of the operators' rows waiting for a change.
func (s *store) await(ctx context.Context, prefix string, after int64) {
	if prefix != "op/" {
		return
	}
	until := time.Now().Add(confWait)
	for ctx.Err() == nil && time.Now().Before(until) {
		s.mu.Lock()
		changed := s.older(after) || len(s.since(prefix, after)) > 0
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
		if now := s.rows[e.Key]; e.Rev != rows.Any && now.Rev != e.Rev {
			return 0, table.NewConflict([]string{e.Key})
		}
	}
	s.rev++
	for _, e := range edits {
		if !e.Same {
			e.Rev = s.rev
			s.set(e)
		}
	}
	return s.rev, nil
}
