package tune

import (
	"time"

	"damaskreach/internal/fault"
)

const (
	maxSlots = 1 << 16
	maxTime  = 30 * 24 * time.Hour
)

// Faults returns what is wrong with the options.
func (t Tune) Faults() []fault.Fault {
	var faults []fault.Fault
	within := func(key string, value, low, high float64) {
		if !(value >= low && value <= high) { // also false for a value that is not a number
			faults = append(faults, fault.NewFault(key, "%v is out of range: %v to %v", value, low, high))
		}
	}
	lasts := func(key string, value time.Duration) {
		if value <= 0 || value > maxTime {
			faults = append(faults, fault.NewFault(key, "%s is out of range: above 0s, at most %s", value, maxTime))
		}
	}
	within("stall", t.Stall, 0, 1)
	within("rare", float64(t.Rare), 0, maxSlots)
	within("queue", float64(t.Queue), 1, maxSlots)
	within("retry-share", t.RetryShare, 0, 1)
	lasts("first", t.First)
	lasts("gap", t.Gap)
	lasts("half-life", t.HalfLife)
	return faults
}
