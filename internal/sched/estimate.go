package sched

import "time"

// Starting values of what is learnt, and bounds.
const (
	firstLoad    = 400 * time.Millisecond
	firstPace    = 25 * time.Millisecond
	firstAnswer  = 4 * time.Second
	smooth       = 0.1  // weight of the newest sample
	floorDown    = 0.2  // weight of a sample below a floor
	floorUp      = 0.01 // weight of a sample above a floor
	leastTokens  = 8    // answers shorter than this say nothing about the pace
	manyModels   = 4096
	littleDemand = 0.05
)

// estimate is an exponentially smoothed duration.
type estimate struct {
	value time.Duration
}

// learn takes a sample in.
func (e *estimate) learn(sample time.Duration) {
	if sample < 0 {
		return
	}
	e.value += time.Duration(smooth * float64(sample-e.value))
}

// floor follows the low end of what is measured: refusals rest on it, so that an outlier such as
// an answer cut short by a restart cannot make the runner look too slow for a deadline it would meet.
type floor struct {
	value float64
}

// learn takes a sample in.
func (f *floor) learn(sample float64) {
	weight := floorUp
	if sample < f.value {
		weight = floorDown
	}
	f.value += weight * (sample - f.value)
}
