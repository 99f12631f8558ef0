package place

import (
	"time"

	"damaskreach/internal/digest"
)

// reflectAge is the age from which a choice counts as reflected in an arriving digest: the round trip to the owner.
const reflectAge = 20 * time.Millisecond

// UpdateDigest stores a digest unless it is older than the known one.
func (p *Place) UpdateDigest(now time.Time, d digest.Digest) {
	t := p.runners[d.Runner]
	if t == nil {
		t = &target{inFlight: map[string]int{}}
		p.runners[d.Runner] = t
	} else if !d.Newer(t.digest) {
		return
	}
	p.pendingLoads += len(d.Loading) - len(t.digest.Loading)
	t.digest = d
	t.updatedAt = now
	kept := t.recent[:0]
	for _, c := range t.recent {
		if now.Sub(c.chosenAt) < reflectAge {
			kept = append(kept, c)
		}
	}
	t.recent = kept
}

// Prune drops the runners that are no longer known. Otherwise replaced runners would add up, and their last reported loads
// would count as pending at the weight store for good.
func (p *Place) Prune(known func(runner string) bool) {
	for name, t := range p.runners {
		if !known(name) {
			p.pendingLoads -= len(t.digest.Loading)
			delete(p.runners, name)
		}
	}
}
