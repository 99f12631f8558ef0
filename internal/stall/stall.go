// Package stall notices that this process stood still: that it was stopped, suspended or without processor time for a while.
//
// What a process reads just after that may have waited for it in the kernel all the while, and what it knew before is as old as the pause. Neither is to
// be seen from the clock alone.
package stall

import (
	"context"
	"sync"
	"time"

	"damaskreach/internal/ticker"
)

const (
	// tickInterval is the interval at which Run shows that the process runs.
	tickInterval = 50 * time.Millisecond
	// minPause is the time without a tick from which the process counts as having stood still. A busy host ticks late by less.
	minPause = 400 * time.Millisecond
)

// Stall may be used from several goroutines.
type Stall struct {
	// Clock returns a monotonic time that also advances while the machine is suspended.
	Clock func() time.Duration

	mu       sync.Mutex
	started  bool
	lastTick time.Duration
	pause    time.Duration // length of the last pause; 0 if there was none
	pauseEnd time.Duration
}

// Run watches until ctx ends.
func (s *Stall) Run(ctx context.Context) {
	for range ticker.Every(ctx, tickInterval) {
		s.tick(true)
	}
}

// LastPause returns how long the process stood still the last time, and how long ago that ended; a pause of 0 means that it never did. A pause that has just
// ended is known at once, whichever goroutine runs first.
func (s *Stall) LastPause() (pause, ago time.Duration) {
	now := s.tick(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pause, now - s.pauseEnd
}

// tick records a pause if there was one, and that the process runs. Only Run begins: where it does not run, nothing ticks, and no pause can be told.
func (s *Stall) tick(begin bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock()
	if !s.started && !begin {
		return now
	}
	if since := now - s.lastTick; s.started && since >= minPause {
		s.pause, s.pauseEnd = since, now
	}
	s.started, s.lastTick = true, now
	return now
}
