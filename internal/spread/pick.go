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

// mix spreads the last bytes over all bits. FNV alone ranks names that differ in their last digit almost alike, and one node
// would get far more than its share.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// OwnerOf returns the node among ids that a key hashes to. When a node leaves, only its own keys move.
func OwnerOf(ids []string, key string) string {
	if len(ids) == 0 {
		return ""
	}
	return rendezvous.New(ids, hash).Lookup(key)
}

// Rank returns the first n nodes by rendezvous hash of a key. When a node leaves, the others keep their order.
func Rank(ids []string, key string, n int) []string {
	ranked := slices.Clone(ids)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(hash(key+"/"+b), hash(key+"/"+a)) })
	return ranked[:min(n, len(ranked))]
}
