package sched

import "time"

// Starting values of what is learnt, and bounds.
const (
	firstLoad    = 400 * time.Millisecond
	firstPace    = 25 * time.Millisecond
	firstAnswer  = 4 * time.Second
	smooth       = 0.1 // weight of the newest sample
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
