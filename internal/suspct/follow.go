package suspct

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

// Run reads other nodes' records, writes what could not be written before and ends lives, until ctx ends.
func (s *Suspect) Run(ctx context.Context) {
	for range ticker.Repeat(ctx, s.Poll, nil) {
		if err := s.read(ctx); err != nil {
			s.Log.Warn("reading the suspects failed; other nodes pass theirs on", zap.Error(err))
		}
		s.expire(ctx)
		s.catchUp(ctx)
	}
}

func (s *Suspect) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	changed, rev, err := s.Table.Tail(ctx, table.PrefixSuspect, s.rev)
	if err != nil && !errors.Is(err, table.ErrCompacted) {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.dropUnlisted(changed)
	}
	for _, row := range changed {
		s.take(row)
	}
	s.rev = rev
	return nil
}

// dropUnlisted drops records whose deletion the service has forgotten. It needs the lock.
func (s *Suspect) dropUnlisted(all []rows.Row) {
	listed := map[string]bool{}
	for _, row := range all {
		listed[row.Key] = true
	}
	for key, r := range s.known {
		if r.rev > 0 && !r.dirty && !listed[key] {
			delete(s.known, key)
		}
	}
}

// expire ends lives. The row is deleted by one node, the home of its key.
func (s *Suspect) expire(ctx context.Context) {
	s.mu.Lock()
	ended := map[string]int64{}
	for key, r := range s.known {
		if !time.Now().Before(r.until) {
			ended[key] = r.rev
			delete(s.known, key)
		}
	}
	s.mu.Unlock()
	for key, rev := range ended {
		if _, local, err := s.Home(ctx, key); err != nil || !local || rev == 0 {
			continue
		}
		s.mu.Lock()
		s.closed[key] = rev
		s.mu.Unlock()
	}
}

// catchUp writes and deletes what the table did not take before.
func (s *Suspect) catchUp(ctx context.Context) {
	s.mu.Lock()
	var dirty, ending []string
	for key, r := range s.known {
		if r.dirty {
			dirty = append(dirty, key)
		}
	}
	for key := range s.closed {
		ending = append(ending, key)
	}
	s.mu.Unlock()
	for _, key := range dirty {
		go s.store(ctx, key)
	}
	for _, key := range ending {
		go s.remove(ctx, key)
	}
}
