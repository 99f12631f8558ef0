// Package mate holds what the store tells of one host to the others.
package mate

import "hash/fnv"

// Mate is immutable.
type Mate struct {
	IP      string
	Peers   string  // address for other hosts
	Callers string  // address for callers
	Centre  string  // data centre
	Power   float64 // cores that its process may use
}

// Before reports whether a host comes before another one where some of many do a duty for the rest. All hosts order each other
// the same way without a word between them. Those with more processor time come first: a duty takes a small host's time from its
// callers.
func (m Mate) Before(other Mate) bool {
	if m.Power != other.Power {
		return m.Power > other.Power
	}
	mine, its := spread(m.IP), spread(other.IP)
	if mine != its {
		return mine < its
	}
	return m.IP < other.IP
}

// spread gives neighbouring addresses places far apart. It is written so that nothing is allocated: hosts compare hundreds of others with each
// message.
func spread(ip string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte("duty "))
	sum.Write([]byte(ip))
	return sum.Sum32()
}
