// Package charge holds what the host that a caller reached asks the host that counts the use of a team.
package charge

import "time"

// Charge is immutable: units of a team's limit, which lies in equal parts at several hosts.
type Charge struct {
	Part    string  `msgpack:"p"` // of the limits of all teams; it says who counts
	Team    string  `msgpack:"t"`
	Version int64   `msgpack:"v"`           // of the configuration that the limit is from
	Rate    float64 `msgpack:"r"`           // units a second of this part
	Burst   float64 `msgpack:"b"`           // units at once of this part
	Units   float64 `msgpack:"u"`           // that a request needs; negative where one that was charged has not run
	Over    float64 `msgpack:"o,omitempty"` // units that it counts beyond, if it gets all it needs

	// Life and Taken say by which process and when units were taken that are given back.
	Life  string        `msgpack:"l,omitempty"`
	Taken time.Duration `msgpack:"a,omitempty"`
}

// WithUnits returns the charge for units that a request needs, and counts over.
func (c Charge) WithUnits(units, over float64) Charge {
	c.Units, c.Over = units, over
	return c
}

// WithReturn returns the charge that gives units back to the process that took them.
func (c Charge) WithReturn(units float64, life string, taken time.Duration) Charge {
	c.Units, c.Life, c.Taken = -units, life, taken
	return c
}
