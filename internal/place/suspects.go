package place

import (
	"cmp"
	"slices"

	"damaskreach/internal/call"
)

// CopyInFlight reports whether a copy of c is in flight on one of the runners in avoid, on which c has failed. The caller
// waits for that copy before it retries c elsewhere; otherwise copies of a request that crashes its upstream would reach
// further runners before the crash is known.
func (p *Place) CopyInFlight(c call.Call, avoid []string) bool {
	if p.duplicates[c.Fingerprint()] == nil {
		return false
	}
	for _, chosen := range p.inFlight {
		if chosen.fingerprint == c.Fingerprint() && chosen.request != c.Name() && slices.Contains(avoid, chosen.runner) {
			return true
		}
	}
	return false
}

// fewestSuspects returns the runner for a suspected request: healthy, with the fewest suspects, then with the fewest requests.
func fewestSuspects(from []*target) *target {
	return slices.MinFunc(from, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.suspectRank(), b.suspectRank()), cmp.Compare(a.requests(), b.requests()))
	})
}

// suspectRank returns the number of suspects on a runner; unhealthy runners rank after all healthy ones.
func (t *target) suspectRank() int {
	const unhealthyPenalty = 1 << 20
	if t.unhealthy() {
		return t.suspects() + unhealthyPenalty
	}
	return t.suspects()
}

// suspects returns the number of suspects on the runner, including own choices that its digest does not reflect yet.
func (t *target) suspects() int {
	return max(t.digest.Suspects, t.suspectsInFlight)
}

// withoutSuspects returns the runners that have no suspects, or all of them if each has some.
func withoutSuspects(from []*target) []*target {
	var found []*target
	for _, t := range from {
		if t.suspects() == 0 {
			found = append(found, t)
		}
	}
	if len(found) == 0 {
		return from
	}
	return found
}
