// Package notice holds what an upstream says of itself beside an answer.
package notice

import "time"

// Notice is immutable.
type Notice struct {
	Limited bool
	Limit   float64       // requests a second that the upstream takes from all hosts together, where Limited
	Leaving bool          // it ends soon; new requests go elsewhere
	Brittle int           // requests that it may turn away in a second for want of room without falling over; 0 where it says nothing
	Rest    time.Duration // for which it wants nothing of the host that it answered
}
