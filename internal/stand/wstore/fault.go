package wstore

import (
	"slices"

	"damaskreach/internal/stand/recrd"
)

// FailLoads makes the next n loads that the rate allows fail at once.
func (s *Store) FailLoads(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fails = n
}

// Slow divides the speed by factor, also of loads in progress.
func (s *Store) Slow(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	s.slow = factor
	s.wake()
}

// Down takes the store down, which breaks the loads in progress, or up again.
func (s *Store) Down(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		return
	}
	for _, t := range s.now {
		t.broken = true
	}
	s.wake()
}

// Records returns the store's own account of every load it was asked for, oldest first.
func (s *Store) Records() []recrd.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log)
}
