package limits

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"

	"damaskreach/internal/charge"
	"damaskreach/internal/team"
)

const (
	// shards is how many hosts the limits of all teams lie at, at most.
	shards = 16
	// leastParts and mostParts bound in how many parts one team's limit lies.
	leastParts = 2
	mostParts  = 4
	// partTokens and partRequests are what a part should hold at once, so that one long request does not use it up.
	partTokens   = 8192
	partRequests = 8
)

// Parts returns the parts of the limits of all teams.
func Parts() []string {
	names := make([]string, shards)
	for i := range names {
		names[i] = fmt.Sprint("limits-", i)
	}
	return names
}

// parts returns the parts of a team's limit in the order to ask, but for those that gave no answer a moment ago.
func (l *Limits) parts(t team.Team, version int64) []charge.Charge {
	n := min(mostParts, max(leastParts, int(t.Burst/holds(t))))
	sum := fnv.New32a()
	sum.Write([]byte(t.Name))
	first, names := int(sum.Sum32()%shards), Parts()
	var list []charge.Charge
	for _, at := range rand.Perm(n) {
		c := charge.Charge{
			Part: names[(first+at)%shards], Team: t.Name, Version: version, Rate: t.Rate / float64(n), Burst: t.Burst / float64(n),
		}
		if f, known := l.known(c); !known || !f.silent {
			list = append(list, c)
		}
	}
	return list
}

// holds returns how many units a part of a team's limit should hold at once.
func holds(t team.Team) float64 {
	if t.Tokens {
		return partTokens
	}
	return partRequests
}
