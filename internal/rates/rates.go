// Package rates holds hosts' measurements of engines, which are kept in the store so that they outlast the hosts.
//
// A starting host does not know how fast engines read, and assumes less than the true speed so as not to stall streams. After all hosts
// have lost power at once, all callers return together: with a guess of twice the true cost of a prompt, engines got less than half of the
// prompts that they could have read, and requests for resident adapters were rejected or late. So each host writes its measurements to its
// row in the store, which it renews anyway, and starts from those that it finds there.
package rates

import (
	"slices"
	"time"
)

// Rates is immutable; a zero field was not measured.
type Rates struct {
	TokenTime     time.Duration `msgpack:"t,omitempty"` // time to read one token of a prompt
	EventInterval time.Duration `msgpack:"e,omitempty"` // usual time between two events of a stream
}

// Median returns the median of several hosts' measurements, each field by itself.
func Median(list []Rates) Rates {
	return Rates{
		TokenTime:     median(list, func(r Rates) time.Duration { return r.TokenTime }),
		EventInterval: median(list, func(r Rates) time.Duration { return r.EventInterval }),
	}
}

// median leaves out hosts that have not measured the field.
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
