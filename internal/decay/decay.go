// Package decay implements an exponentially decaying count of events.
package decay

import (
	"math"
	"time"
)

// Count is a decaying count. The zero value is an empty count.
type Count struct {
	value     float64
	updatedAt time.Time
}

// At returns the count decayed to now. A half-life of zero or less means no decay.
func (c *Count) At(now time.Time, halfLife time.Duration) float64 {
	if c.value == 0 || halfLife <= 0 {
		return c.value
	}
	age := now.Sub(c.updatedAt)
	return c.value * math.Exp2(-float64(age)/float64(halfLife))
}

// Add counts one event.
func (c *Count) Add(now time.Time, halfLife time.Duration) {
	c.value = c.At(now, halfLife) + 1
	c.updatedAt = now
}

// Raise raises the count to at least a value counted elsewhere, over more hosts.
func (c *Count) Raise(now time.Time, halfLife time.Duration, value float64) {
	c.value = max(c.At(now, halfLife), value)
	c.updatedAt = now
}

// PerMinute returns the rate of evenly spaced events that would give a count.
func PerMinute(count float64, halfLife time.Duration) float64 {
	if halfLife <= 0 {
		return count
	}
	return count * math.Ln2 / halfLife.Minutes()
}
