package sched

import "time"

// Initial values and bounds of what is measured.
const (
	initialLoadTime   = 400 * time.Millisecond
	initialTokenTime  = 25 * time.Millisecond
	initialAnswerTime = 4 * time.Second
	sampleWeight      = 0.1  // of the newest sample
	floorDownWeight   = 0.2  // of a sample below the floor
	floorUpWeight     = 0.01 // of a sample above the floor
	minTokens         = 8    // shorter answers say nothing about the time per token
	maxRecords        = 4096
	minDemand         = 0.05
)

// estimate is an exponentially smoothed duration.
type estimate struct {
	value time.Duration
}

func (e *estimate) learn(sample time.Duration) {
	if sample < 0 {
		return
	}
	e.value += time.Duration(sampleWeight * float64(sample-e.value))
}

// floor follows the low end of the samples. Refusals depend on it, so it moves up slowly: an outlier such as an answer cut
// short by a restart must not make the runner look too slow for a deadline that it would meet.
type floor struct {
	value float64
}

func (f *floor) learn(sample float64) {
	weight := floorUpWeight
	if sample < f.value {
		weight = floorDownWeight
	}
	f.value += weight * (sample - f.value)
}
