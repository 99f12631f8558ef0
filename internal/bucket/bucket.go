// Package bucket implements a token bucket to which unused units can be returned.
package bucket

import (
	"math"
	"time"
)

const (
	// maxWait is the longest wait returned, also where the bucket never refills.
	maxWait = time.Hour
	// peakInterval and peakCount are the resolution and the number of the recorded peaks; units can be returned for that long.
	peakInterval = time.Second
	peakCount    = 16
)

// Bucket is a token bucket. Its times are those of a clock that also advances while the machine is suspended. It is not safe
// for concurrent use.
type Bucket struct {
	rate       float64 // units a second
	burst      float64 // most units at once
	level      float64 // negative after a request larger than the burst
	filledAt   time.Duration
	limitSince time.Duration      // start of the current limit
	peaks      [peakCount]float64 // highest level in each of the last intervals
}

// NewBucket returns a bucket that was empty at the given time: a former counter may have given out everything by then.
func NewBucket(rate, burst float64, empty time.Duration) *Bucket {
	return &Bucket{rate: rate, burst: burst, filledAt: empty, limitSince: empty}
}

// SetLimit changes the rate and burst from now on.
func (b *Bucket) SetLimit(now time.Duration, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst, b.limitSince = rate, burst, now
	b.level = min(b.level, burst)
}

// Take takes all units if they are available, else none, and returns the number taken. With them it takes excess, the part of
// a request beyond the burst of its whole limit, which may make the level negative. If nothing is taken, wait is the time
// until the units are available.
func (b *Bucket) Take(now time.Duration, units, excess float64) (taken float64, wait time.Duration) {
	if wait = b.Wait(now, units); wait > 0 {
		return 0, wait
	}
	b.level -= units + excess
	return units + excess, 0
}

// Wait returns the time until the units are available if nobody else takes any.
func (b *Bucket) Wait(now time.Duration, units float64) time.Duration {
	b.refill(now)
	missing := units - b.level
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0:
		return maxWait
	}
	return min(maxWait, time.Duration(math.Ceil(missing/b.rate*float64(time.Second))))
}

// Return gives back unused units that were taken at takenAt. Units by which the bucket would have overflowed since then are
// dropped.
func (b *Bucket) Return(now time.Duration, units float64, takenAt time.Duration) {
	b.refill(now)
	first, last := int(takenAt/peakInterval), int(b.filledAt/peakInterval)
	if takenAt <= b.limitSince || last-first >= peakCount {
		return
	}
	peak := b.level
	for i := first; i <= last; i++ {
		peak = max(peak, b.peaks[i%peakCount])
	}
	units = max(0, min(units, b.burst-peak))
	b.level += units
	for i := first; i <= last; i++ {
		b.peaks[i%peakCount] += units
	}
}

// Full reports whether the bucket has refilled completely.
func (b *Bucket) Full(now time.Duration) bool {
	b.refill(now)
	return b.level >= b.burst
}

func (b *Bucket) refill(now time.Duration) {
	if now < b.filledAt {
		return
	}
	first, last := int(b.filledAt/peakInterval)+1, int(now/peakInterval)
	b.level = min(b.burst, b.level+b.rate*(now-b.filledAt).Seconds())
	b.filledAt = now
	for i := max(first, last-peakCount+1); i <= last; i++ {
		b.peaks[i%peakCount] = b.level
	}
	b.peaks[last%peakCount] = max(b.peaks[last%peakCount], b.level)
}
