// Package rates holds what hosts have measured of engines, as it outlives them.
//
// A host that starts knows nothing of how fast engines read, and takes them for slower than they are so as not to hold streams
// up. After all hosts have lost power at once, that is when their callers come back together: with a guess of twice the true
// cost of a prompt, engines got less than half of the prompts that they could have read, and requests for adapters that were
// resident all the time were refused or late. So each host keeps its measurements in its row in the store, which it writes
// anyway, and starts from what it finds there.
package rates

import (
	"slices"
	"time"
)

// Rates is immutable; zero means not measured.
type Rates struct {
	Token time.Duration `msgpack:"t,omitempty"` // to read one token of a prompt
	Event time.Duration `msgpack:"e,omitempty"` // usual time between two events of a stream
}

// Median returns the median of what several hosts have measured, each part by itself.
func Median(list []Rates) Rates {
	return Rates{
		Token: median(list, func(r Rates) time.Duration { return r.Token }),
		Event: median(list, func(r Rates) time.Duration { return r.Event }),
	}
}

// median leaves out those that have not measured it.
func median(list []Rates, part func(Rates) time.Duration) time.Duration {
	var known []time.Duration
	for _, r := range list {
		if d := part(r); d > 0 {
			known = append(known, d)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}
