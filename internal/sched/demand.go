package sched

import (
	"math"
	"time"
)

// demand is a count of requests that halves every half-life.
type demand struct {
	count float64
	last  time.Time
}

// at returns the decayed count.
func (d *demand) at(now time.Time, half time.Duration) float64 {
	if d.count == 0 || half <= 0 {
		return d.count
	}
	age := now.Sub(d.last)
	return d.count * math.Exp2(-float64(age)/float64(half))
}

// add counts one request.
func (d *demand) add(now time.Time, half time.Duration) {
	d.count = d.at(now, half) + 1
	d.last = now
}

// perMinute turns a decayed count into a rate.
func perMinute(count float64, half time.Duration) float64 {
	if half <= 0 {
		return count
	}
	return count * math.Ln2 / half.Minutes()
}
