package place

import (
	"time"

	"damaskreach/internal/digest"
)

// reflected is the age from which a choice counts as contained in a digest that arrives: the way to the owner and back.
const reflected = 20 * time.Millisecond

// Learn takes a digest in, unless it is older than the one known.
func (p *Place) Learn(now time.Time, d digest.Digest) {
	t := p.runners[d.Runner]
	if t == nil {
		t = &target{flying: map[string]int{}}
		p.runners[d.Runner] = t
	} else if !d.Newer(t.digest) {
		return
	}
	p.loading += len(d.Loading) - len(t.digest.Loading)
	t.digest = d
	t.learned = now
	kept := t.recent[:0]
	for _, c := range t.recent {
		if now.Sub(c.at) < reflected {
			kept = append(kept, c)
		}
	}
	t.recent = kept
}

// Sweep drops the runners that are not known any more. Kept, those that operators replace would add up, and what they
// were loading last would count against the store for good.
func (p *Place) Sweep(known func(runner string) bool) {
	for name, t := range p.runners {
		if !known(name) {
			p.loading -= len(t.digest.Loading)
			delete(p.runners, name)
		}
	}
}
