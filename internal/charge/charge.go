// Package charge defines the message by which an entry host charges a request to a shard of a team's limit.
package charge

import "time"

// Charge asks for units of a team's limit, which is divided into equal shards on several hosts. It is immutable.
type Charge struct {
	Shard   string  `msgpack:"p"` // of all teams' limits; determines the host that counts
	Team    string  `msgpack:"t"`
	Version int64   `msgpack:"v"`           // of the configuration that sets the limit
	Rate    float64 `msgpack:"r"`           // of this shard, in units a second
	Burst   float64 `msgpack:"b"`           // of this shard, in units
	Units   float64 `msgpack:"u"`           // that a request needs; negative to return those of a request that has not run
	Over    float64 `msgpack:"o,omitempty"` // units counted beyond Units if all of those are granted

	// Life and Taken identify the process that granted the units now returned, and when it did.
	Life  string        `msgpack:"l,omitempty"`
	Taken time.Duration `msgpack:"a,omitempty"`
}

// WithUnits returns the charge for units that a request needs, and for over beyond these.
func (c Charge) WithUnits(units, over float64) Charge {
	c.Units, c.Over = units, over
	return c
}

// WithReturn returns the charge that returns units to the process that granted them.
func (c Charge) WithReturn(units float64, life string, taken time.Duration) Charge {
	c.Units, c.Life, c.Taken = -units, life, taken
	return c
}
