package limits

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"damaskreach/internal/charge"
	"damaskreach/internal/team"
)

const (
	// shardCount is the number of shards, shared by the limits of all teams; it is also the most hosts that hold limits.
	shardCount = 16
	// minShards and maxShards bound the number of shards of one team's limit.
	minShards = 2
	maxShards = 4
	// shardTokens and shardRequests are the burst that a shard should have, so that one large request doesn't use it up.
	shardTokens   = 8192
	shardRequests = 8
)

// Shards returns the names of all shards.
func Shards() []string {
	names := make([]string, shardCount)
	for i := range names {
		names[i] = fmt.Sprint("limits-", i)
	}
	return names
}

// shardsOf returns the shards of a team's limit in random order, without those that recently did not answer.
func (l *Limits) shardsOf(t team.Team, version int64) []charge.Charge {
	n := min(maxShards, max(minShards, int(t.Burst/minShardBurst(t))))
	sum := fnv.New32a()
	sum.Write([]byte(t.Name))
	first, names := int(sum.Sum32()%shardCount), Shards()
	var list []charge.Charge
	for _, offset := range rand.Perm(n) {
		c := charge.Charge{
			Shard: names[(first+offset)%shardCount], Team: t.Name, Version: version, Rate: t.Rate / float64(n), Burst: t.Burst / float64(n),
		}
		if f, known := l.cachedState(c); !known || !f.noAnswer {
			list = append(list, c)
		}
	}
	return list
}

// minShardBurst returns the burst that a shard of a team's limit should have.
func minShardBurst(t team.Team) float64 {
	if t.Tokens {
		return shardTokens
	}
	return shardRequests
}
