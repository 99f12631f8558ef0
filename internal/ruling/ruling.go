// Package ruling holds the answer to a charge.
package ruling

import "time"

// Ruling is immutable.
type Ruling struct {
	Counts bool          `msgpack:"c"`           // the host that was asked counts this part; else it has decided nothing
	Units  float64       `msgpack:"u"`           // that were taken, with those over the burst
	Wait   time.Duration `msgpack:"w,omitempty"` // until all are there, where they are not
	Life   string        `msgpack:"l,omitempty"` // of the process that took the units
	Taken  time.Duration `msgpack:"a,omitempty"` // when, by its clock
}
