// Package jitter computes which part of the allowed stall of streams may be planned for reading prompts.
//
// Some engines read two to three times slower for unpredictable moments. Planned to the full, a burst of prompts in such a
// moment stalls all streams of the engine; planned with a reserve, steady engines read a fifth less than they can. So the part
// depends on how often prompts took much longer to read than expected.
package jitter

import (
	"sync"
	"time"
)

const (
	// slowFactor is the multiple of its expected time from which the reading of a prompt counts as slow.
	slowFactor = 2.0
	// sampleWeight is the weight of the newest reading in slowShare, which so depends on about a hundred readings.
	sampleWeight = 0.01
	// minSlowShare is the share of slow readings up to which the whole stall may be planned; from maxSlowShare on, only minRoom of it.
	minSlowShare = 0.01
	maxSlowShare = 0.03
	// minRoom is the part of the stall to plan so that even an engine that slows down a few times keeps to the whole.
	minRoom = 0.4
	// initialSlowShare is the share assumed before anything was measured.
	initialSlowShare = 0.02
)

// Jitter is safe for concurrent use.
type Jitter struct {
	mu        sync.Mutex
	slowShare float64 // of readings
}

// NewJitter returns a Jitter without measurements.
func NewJitter() *Jitter {
	return &Jitter{slowShare: initialSlowShare}
}

// AddSample adds the actual and expected time of a reading.
func (j *Jitter) AddSample(took, expected time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	value := 0.0
	if float64(took) > slowFactor*float64(expected) {
		value = 1
	}
	j.slowShare += sampleWeight * (value - j.slowShare)
}

// Room returns the part of the allowed stall that may be planned for reading.
func (j *Jitter) Room() float64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	part := (j.slowShare - minSlowShare) / (maxSlowShare - minSlowShare)
	return 1 - (1-minRoom)*min(1, max(0, part))
}
