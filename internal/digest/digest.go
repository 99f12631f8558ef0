// Package digest holds what the owner of a runner tells other nodes about it.
package digest

// Digest is the state of one runner as its owner knows it.
type Digest struct {
	Runner   string   `msgpack:"runner"`
	Group    string   `msgpack:"group"`
	Owner    string   `msgpack:"owner"` // node id
	Addr     string   `msgpack:"addr"`  // peer address of the owner
	Fence    int64    `msgpack:"fence"` // ownership fence
	Number   int64    `msgpack:"num"`   // grows with each digest of one fence; older ones are dropped
	Slots    int      `msgpack:"slots"`
	Free     int      `msgpack:"free"`     // free slots
	Idle     int      `msgpack:"idle"`     // resident models that no request uses and that may be unloaded
	Cheap    float64  `msgpack:"cheap"`    // decayed count of requests for the idle model to be unloaded first
	Batch    int      `msgpack:"batch"`    // requests a step can hold
	Running  int      `msgpack:"running"`  // requests in progress
	Waiting  int      `msgpack:"waiting"`  // requests queued at the owner
	Resident []string `msgpack:"resident"` // models loaded
	Loading  []string `msgpack:"loading"`  // models being loaded
	Closed   bool     `msgpack:"closed"`   // takes no new work: leaving, sick or handed over
	Sick     bool     `msgpack:"sick"`     // answers with errors or not at all
	Suspects int      `msgpack:"suspects"` // requests that may crash it, running alone there or waiting to
}

// Newer reports whether d was made after other.
func (d Digest) Newer(other Digest) bool {
	if d.Fence != other.Fence {
		return d.Fence > other.Fence
	}
	return d.Number > other.Number
}
