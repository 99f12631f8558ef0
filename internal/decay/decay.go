// Package decay counts events with a weight that halves every half-life.
package decay

import (
	"math"
	"time"
)

// Count is a decaying count; the zero value has counted nothing.
type Count struct {
	value float64
	last  time.Time
}

// At returns the count as decayed by now. A half-life of zero or less means no decay.
func (c *Count) At(now time.Time, half time.Duration) float64 {
	if c.value == 0 || half <= 0 {
		return c.value
	}
	age := now.Sub(c.last)
	return c.value * math.Exp2(-float64(age)/float64(half))
}

// Add counts one event.
func (c *Count) Add(now time.Time, half time.Duration) {
	c.value = c.At(now, half) + 1
	c.last = now
}

// Raise lifts the count to a value that somebody with a wider view has counted.
func (c *Count) Raise(now time.Time, half time.Duration, value float64) {
	c.value = max(c.At(now, half), value)
	c.last = now
}

// PerMinute turns a count into the rate of steady events that would have given it.
func PerMinute(count float64, half time.Duration) float64 {
	if half <= 0 {
		return count
	}
	return count * math.Ln2 / half.Minutes()
}
