// Package jitter learns how much of the pause that streams allow may be planned for reading prompts.
//
// Some engines read two to three times slower for moments that nobody announces. Planned to the full, a reading in such a moment holds up all
// streams of the engine for too long; planned small, engines that never do so read a fifth less than they can. So it follows from how often
// readings took much longer than expected.
package jitter

import (
	"sync"
	"time"
)

const (
	// slow is how many times longer than expected a reading takes that counts as slow.
	slow = 2.0
	// memory is the weight of the newest reading: some hundred count.
	memory = 0.01
	// seldom and often are the shares of slow readings up to which all of the pause is planned for, and from which the least of it is.
	seldom = 0.01
	often  = 0.03
	// least is the part of the pause that an engine some times slower still keeps to.
	least = 0.4
	// unknown is the share taken for true before anything was measured.
	unknown = 0.02
)

// Jitter may be used from several goroutines.
type Jitter struct {
	mu    sync.Mutex
	share float64 // of readings that were slow
}

// NewJitter returns what is known before anything was measured.
func NewJitter() *Jitter {
	return &Jitter{share: unknown}
}

// Took takes how long a reading took, and how long it was expected to.
func (j *Jitter) Took(took, expected time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	value := 0.0
	if float64(took) > slow*float64(expected) {
		value = 1
	}
	j.share += memory * (value - j.share)
}

// Room returns the part of the pause that streams allow which may be planned for reading.
func (j *Jitter) Room() float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	part := (j.share - seldom) / (often - seldom)
	return 1 - (1-least)*min(1, max(0, part))
}
