package place

import (
	"cmp"
	"slices"

	"damaskreach/internal/call"
)

// Failing reports whether a copy of a request is in flight on one of the runners in avoid, where c has failed. What
// comes of the copy decides whether c may be sent to another runner: sent there at once, copies of a request that crashes
// its upstream would spread before anyone knows that it does.
func (p *Place) Failing(c call.Call, avoid []string) bool {
	if p.twins[c.Print()] == nil {
		return false
	}
	for _, made := range p.flying {
		if made.print == c.Print() && made.request != c.Name() && slices.Contains(avoid, made.runner) {
			return true
		}
	}
	return false
}

// loneliest returns the runner for a suspect: one without other suspects and without failures, and with the fewest requests.
func loneliest(from []*target) *target {
	return slices.MinFunc(from, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.load(), b.load()))
	})
}

// rank counts the suspects of a runner; one that is ill comes after all others.
func (t *target) rank() int {
	const ill = 1 << 20
	if t.ill() {
		return t.suspects() + ill
	}
	return t.suspects()
}

// suspects returns how many suspects the runner has, own choices that its digest does not reflect included.
func (t *target) suspects() int {
	return max(t.digest.Suspects, t.alone)
}

// quiet returns the runners without suspects, or all where each has some.
func quiet(from []*target) []*target {
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
