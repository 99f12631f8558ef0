package spread

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/dgryski/go-rendezvous"
)

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // a hash never fails
	return mix(h.Sum64())
}

// mix spreads the last bytes over all bits: FNV alone ranks names that differ in their last digit almost alike,
// and one node would get far more than its share.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Pick returns the node among ids that a key hashes to; when a node goes, only its own keys move.
func Pick(ids []string, key string) string {
	if len(ids) == 0 {
		return ""
	}
	return rendezvous.New(ids, hash).Lookup(key)
}

// First returns so many of the nodes, the one that a key hashes to first; when a node goes, the others keep their order.
func First(ids []string, key string, most int) []string {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(hash(key+"/"+b), hash(key+"/"+a)) })
	return ranked[:min(most, len(ranked))]
}
