// Package digest defines the state of a runner that its owner reports to other nodes.
package digest

import (
	"math"
	"reflect"
)

// Digest is the state of one runner as its owner knows it.
type Digest struct {
	Runner   string   `msgpack:"runner,omitempty"`
	Group    string   `msgpack:"group,omitempty"`
	Owner    string   `msgpack:"owner,omitempty"` // node id
	Addr     string   `msgpack:"addr,omitempty"`  // peer address of the owner
	Fence    int64    `msgpack:"fence,omitempty"` // ownership fence
	Number   int64    `msgpack:"num,omitempty"`   // grows with each digest of one fence; older ones are dropped
	Slots    int      `msgpack:"slots,omitempty"`
	Free     int      `msgpack:"free,omitempty"`     // free slots
	Idle     int      `msgpack:"idle,omitempty"`     // resident models that no request uses and that may be unloaded
	Cheap    float64  `msgpack:"cheap,omitempty"`    // decayed count of requests for the idle model to be unloaded first
	Batch    int      `msgpack:"batch,omitempty"`    // requests a step can hold
	Running  int      `msgpack:"running,omitempty"`  // requests in progress
	Waiting  int      `msgpack:"waiting,omitempty"`  // requests queued at the owner
	Resident []string `msgpack:"resident,omitempty"` // models loaded
	Loading  []string `msgpack:"loading,omitempty"`  // models being loaded
	Closed   bool     `msgpack:"closed,omitempty"`   // takes no new work: draining, unhealthy or handed over
	Sick     bool     `msgpack:"sick,omitempty"`     // answers with errors or not at all
	Stuck    bool     `msgpack:"stuck,omitempty"`    // no slot becomes free when requests end
	Demand   float64  `msgpack:"demand,omitempty"`   // only in a home's answer: decayed count of requests for the model asked about
	Suspects int      `msgpack:"suspects,omitempty"` // requests that may crash it, running alone there or waiting to
}

// Newer reports whether d was made after other.
func (d Digest) Newer(other Digest) bool {
	if d.Fence != other.Fence {
		return d.Fence > other.Fence
	}
	return d.Number > other.Number
}

// Brief returns what an entry needs of a digest to send a call, with the home's count of requests for its model.
func (d Digest) Brief(demand float64) Digest {
	return Digest{Runner: d.Runner, Group: d.Group, Owner: d.Owner, Addr: d.Addr, Fence: d.Fence, Demand: demand}
}

// cheapShare is the relative change of Cheap, which decays all the time, from which a digest is worth sending.
const cheapShare = 0.2

// Same reports whether two digests are equal but for Number and small changes of Cheap.
func (d Digest) Same(other Digest) bool {
	if math.Abs(d.Cheap-other.Cheap) > cheapShare*other.Cheap {
		return false
	}
	d.Number, d.Cheap = other.Number, other.Cheap
	return reflect.DeepEqual(d, other)
}

// Alike reports whether two digests differ in counters alone, and in none that crosses empty or full: what a choice of a
// runner hardly depends on. Whether an idle model may be unloaded counts only while there is no free slot.
func (d Digest) Alike(other Digest) bool {
	if d.full() != other.full() || d.crowded() != other.crowded() || (d.Waiting == 0) != (other.Waiting == 0) {
		return false
	}
	d.Running, d.Waiting, d.Idle, d.Cheap = other.Running, other.Waiting, other.Idle, other.Cheap
	return d.Same(other)
}

// full reports whether the batch has no room left.
func (d Digest) full() bool {
	return d.Running >= max(1, d.Batch)
}

// crowded reports whether no slot is free or can be freed for another model.
func (d Digest) crowded() bool {
	return d.Free == 0 && d.Idle == 0
}
