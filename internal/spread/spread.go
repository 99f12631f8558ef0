// Package spread assigns runners to nodes.
package spread

import (
	"sort"

	"damaskreach/internal/runner"
	"damaskreach/internal/sess"
)

// Spread is a desired assignment: session ID by runner name.
type Spread map[string]string

// NewSpread returns a balanced assignment that moves as few runners as possible. held is the current one.
// Serving owners keep their runners up to an even share. Other runners go to the least loaded node, preferably in their own
// data centre, with ties broken by rendezvous hash. Every node computes the same result from the same rows; where their views
// differ, the table service decides.
func NewSpread(runners []runner.Runner, serving []sess.Session, held map[string]string) Spread {
	if len(serving) == 0 {
		return Spread{}
	}
	b := newBalance(runners, serving)
	b.keepOwners(runners, held)
	for _, r := range runners {
		if _, ok := b.desired[r.Name]; !ok {
			b.assignRunner(r)
		}
	}
	return b.desired
}

type balance struct {
	desired Spread
	load    map[string]int
	centres map[string]string
	ids     []string
	maxLoad int // even share, rounded up
	extra   int // nodes that may still reach maxLoad
}

func newBalance(runners []runner.Runner, serving []sess.Session) *balance {
	b := &balance{desired: Spread{}, load: map[string]int{}, centres: map[string]string{}}
	for _, s := range serving {
		b.ids = append(b.ids, s.ID())
		b.load[s.ID()] = 0
		b.centres[s.ID()] = s.Centre
	}
	sort.Strings(b.ids)
	b.maxLoad = (len(runners) + len(b.ids) - 1) / len(b.ids)
	b.extra = len(runners) - (b.maxLoad-1)*len(b.ids)
	return b
}

func (b *balance) keepOwners(runners []runner.Runner, held map[string]string) {
	for _, r := range runners {
		id := held[r.Name]
		if _, serving := b.load[id]; serving && b.hasRoom(id) {
			b.setOwner(r.Name, id)
		}
	}
}

// hasRoom reports whether a node may get one more runner without unbalancing the assignment.
func (b *balance) hasRoom(id string) bool {
	load := b.load[id]
	if load < b.maxLoad-1 {
		return true
	}
	return load < b.maxLoad && b.extra > 0
}

func (b *balance) setOwner(name, id string) {
	b.desired[name] = id
	b.load[id]++
	if b.load[id] == b.maxLoad {
		b.extra--
	}
}

func (b *balance) assignRunner(r runner.Runner) {
	best := ""
	for _, id := range b.ids {
		if b.hasRoom(id) && b.isBetter(r, id, best) {
			best = id
		}
	}
	b.setOwner(r.Name, best)
}

func (b *balance) isBetter(r runner.Runner, id, best string) bool {
	if best == "" {
		return true
	}
	if b.load[id] != b.load[best] {
		return b.load[id] < b.load[best]
	}
	near, bestNear := b.centres[id] == r.Centre, b.centres[best] == r.Centre
	if near != bestNear {
		return near
	}
	return hash(r.Name+"/"+id) > hash(r.Name+"/"+best)
}
