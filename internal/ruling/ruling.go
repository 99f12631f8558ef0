// Package ruling holds the answer to a charge.
package ruling

import "time"

// Ruling is the answer of the host that counts a shard of teams' limits, or an upstream's requests. It is immutable.
type Ruling struct {
	Counted bool          `msgpack:"c"`           // whether the host counts this; if not, the rest is unset
	Units   float64       `msgpack:"u"`           // granted, with those over the burst
	Wait    time.Duration `msgpack:"w,omitempty"` // until the units are available, if they are not
	Life    string        `msgpack:"l,omitempty"` // ID of the process that granted the units
	Taken   time.Duration `msgpack:"a,omitempty"` // when they were granted, by the clock of that process
}
