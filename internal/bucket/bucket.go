// Package bucket holds one token bucket: a limit in units a second with units for bursts.
package bucket

import (
	"math"
	"time"
)

const (
	// never is how long it takes where nothing comes back.
	never = time.Hour
	// slot and slots say for how long units may be given back, and how exactly it is known how full the bucket was meanwhile.
	slot  = time.Second
	slots = 16
)

// Bucket counts what may still be given out. Times are those of a clock that goes on through suspensions. It is used from one goroutine.
type Bucket struct {
	rate  float64 // units a second
	burst float64 // most units at once
	level float64 // negative after a request that counts more than the burst
	at    time.Duration
	begun time.Duration  // of this limit
	peaks [slots]float64 // highest level in each of the last slots
}

// NewBucket returns a bucket that was empty at a time: whoever counted before may have given out everything by then.
func NewBucket(rate, burst float64, empty time.Duration) *Bucket {
	return &Bucket{rate: rate, burst: burst, at: empty, begun: empty}
}

// Limit sets the limit from a time on.
func (b *Bucket) Limit(now time.Duration, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst, b.begun = rate, burst, now
	b.level = min(b.level, burst)
}

// Take takes all units, or none where there are too few, and returns how many it took. With all it takes over as well, whether they are there
// or not: that is what a request counts beyond the burst of its whole limit, and the next ones wait for it. Wait is how long it will be
// until the units are there where nobody else takes them.
func (b *Bucket) Take(now time.Duration, units, over float64) (taken float64, wait time.Duration) {
	if wait = b.Wait(now, units); wait > 0 {
		return 0, wait
	}
	b.level -= units + over
	return units + over, 0
}

// Wait returns how long it will be until so many units are there where nobody takes any.
func (b *Bucket) Wait(now time.Duration, units float64) time.Duration {
	b.fill(now)
	lacks := units - b.level
	switch {
	case lacks <= 0:
		return 0
	case b.rate <= 0:
		return never
	}
	return min(never, time.Duration(math.Ceil(lacks/b.rate*float64(time.Second))))
}

// Return gives back units that were taken at a time and not used. As far as the bucket would have been over full with them since, they
// would be lost by now, and are.
func (b *Bucket) Return(now time.Duration, units float64, taken time.Duration) {
	b.fill(now)
	first, last := int(taken/slot), int(b.at/slot)
	if taken <= b.begun || last-first >= slots {
		return
	}
	peak := b.level
	for i := first; i <= last; i++ {
		peak = max(peak, b.peaks[i%slots])
	}
	units = max(0, min(units, b.burst-peak))
	b.level += units
	for i := first; i <= last; i++ {
		b.peaks[i%slots] += units
	}
}

// Idle reports whether nothing was taken of it for so long that it is full.
func (b *Bucket) Idle(now time.Duration) bool {
	b.fill(now)
	return b.level >= b.burst
}

func (b *Bucket) fill(now time.Duration) {
	if now < b.at {
		return
	}
	first, last := int(b.at/slot)+1, int(now/slot)
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	for i := max(first, last-slots+1); i <= last; i++ {
		b.peaks[i%slots] = b.level
	}
	b.peaks[last%slots] = max(b.peaks[last%slots], b.level)
}
