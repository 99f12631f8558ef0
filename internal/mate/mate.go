// Package mate describes a host to the others, as the store lists it.
package mate

import "hash/fnv"

// Mate is one host. It is immutable.
type Mate struct {
	IP         string
	PeerAddr   string  // address for other hosts
	CallerAddr string  // address for callers
	Centre     string  // data centre
	Cores      float64 // cores that its process may use
}

// Before reports whether a host ranks before another one for duties that a few hosts do for all. All hosts compute the same order
// without coordination. Hosts with more cores rank first, since a duty takes a small host's processor time from its callers.
func (m Mate) Before(other Mate) bool {
	if m.Cores != other.Cores {
		return m.Cores > other.Cores
	}
	hash, otherHash := rankHash(m.IP), rankHash(other.IP)
	if hash != otherHash {
		return hash < otherHash
	}
	return m.IP < other.IP
}

// rankHash gives neighbouring addresses distant ranks. It avoids allocations, since hosts compare hundreds of others for each message.
func rankHash(ip string) uint32 {
	sum := fnv.New32a()
	sum.Write([]byte("duty "))
	sum.Write([]byte(ip))
	return sum.Sum32()
}
