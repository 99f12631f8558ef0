package suspct

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

const (
	storeTries = 4
	storeTime  = 5 * time.Second
)

// store writes a record's row, joined with what other nodes have written there. What fails is tried again by Run.
func (s *Suspect) store(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	for range storeTries {
		s.mu.Lock()
		r := s.find(key)
		s.mu.Unlock()
		if !r.dirty {
			return
		}
		rev, err := s.Write(ctx, rows.Row{Key: key, Rev: r.rev, Value: r.encode()})
		if err == nil {
			s.stored(key, rev, len(r.Crashes))
			return
		}
		if !errors.Is(err, table.ErrConflict) || s.reread(ctx, key) != nil {
			s.Log.Warn("writing a suspect failed; it is tried again", zap.String("key", key), zap.Error(err))
			return
		}
	}
}

func (s *Suspect) stored(key string, rev int64, crashes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.known[key]
	if !ok {
		s.closed[key] = rev // cleared meanwhile
		return
	}
	r.rev = max(r.rev, rev)
	r.dirty = len(r.Crashes) > crashes
	s.known[key] = r
}

// reread takes in what another node wrote into a row.
func (s *Suspect) reread(ctx context.Context, key string) error {
	row, err := s.Table.Read(ctx, key)
	if errors.Is(err, table.ErrAbsent) {
		row, err = rows.Row{Key: key, Gone: true}, nil
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.take(row)
	return nil
}

// take learns from a row. It needs the lock.
func (s *Suspect) take(row rows.Row) {
	r := s.find(row.Key)
	if row.Gone {
		if r.dirty {
			r.rev = 0
			s.known[row.Key] = r
			return
		}
		delete(s.known, row.Key)
		return
	}
	if _, ending := s.closed[row.Key]; ending {
		s.closed[row.Key] = row.Rev
		return
	}
	seen, err := decode(row.Value)
	if err != nil {
		s.Log.Warn("a suspect's row cannot be read", zap.String("key", row.Key), zap.Error(err))
		return
	}
	s.merge(row.Key, seen.Request, seen.Crashes)
	if r, ok := s.known[row.Key]; ok {
		r.rev = row.Rev
		r.dirty = len(r.Crashes) > len(seen.Crashes)
		s.known[row.Key] = r
	}
}

// remove deletes the row of a suspect that was cleared or whose life has ended.
func (s *Suspect) remove(ctx context.Context, key string) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	s.mu.Lock()
	rev, ending := s.closed[key]
	s.mu.Unlock()
	if !ending {
		return
	}
	_, err := s.Write(ctx, rows.Row{Key: key, Rev: rev, Gone: true})
	if rev == 0 || errors.Is(err, table.ErrConflict) {
		err = s.reread(ctx, key)
		s.mu.Lock()
		same := s.closed[key] == rev
		s.mu.Unlock()
		if err == nil && !same {
			return // another revision is there; Run tries again with it
		}
	}
	if err != nil {
		return
	}
	s.mu.Lock()
	delete(s.closed, key)
	s.mu.Unlock()
}
