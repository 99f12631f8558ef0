// Package lookup chooses the hosts that the answer to a caller's lookup names.
package lookup

import (
	"math/rand/v2"

	"damaskreach/internal/mate"
)

const (
	// most is how many hosts an answer may name.
	most = 64
	// enough is how many hosts an answer names at least, where there are so many: those of the caller's own data centre alone could
	// all be lost before it asks again.
	enough = 16
)

// Hosts returns those of the hosts that a caller in a data centre is told of. Hosts of its own data centre go before others: what
// passes between data centres costs, and is the first that a cut stops. Where there are more than can be named, chance decides,
// so that callers spread over all.
func Hosts(all []mate.Mate, centre string) []mate.Mate {
	var near, far []mate.Mate
	for _, h := range all {
		if h.Centre == centre {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	near = draw(near, most)
	return append(near, draw(far, enough-len(near))...)
}

// draw returns at most so many of the hosts.
func draw(hosts []mate.Mate, count int) []mate.Mate {
	if count <= 0 {
		return nil
	}
	if len(hosts) <= count {
		return hosts
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:count]
}
