// Package spread decides which node should own which runner.
package spread

import (
	"sort"

	"damaskreach/internal/runner"
	"damaskreach/internal/sess"
)

// Spread is a wished ownership: session id by runner name.
type Spread map[string]string

// NewSpread returns a balanced ownership that moves as few runners as possible.
// held gives the present owners by runner name. Owners that serve keep their runners up to an even share;
// a runner without an owner goes to the least loaded node, those of its data centre first, ties broken by rendezvous hash.
// Every node computes the same result from the same rows; where their views differ, the table service decides.
func NewSpread(runners []runner.Runner, serving []sess.Session, held map[string]string) Spread {
	if len(serving) == 0 {
		return Spread{}
	}
	b := newBalance(runners, serving)
	b.keep(runners, held)
	for _, r := range runners {
		if _, ok := b.wished[r.Name]; !ok {
			b.assign(r)
		}
	}
	return b.wished
}

type balance struct {
	wished  Spread
	load    map[string]int
	centres map[string]string
	ids     []string
	most    int // even share, rounded up
	spare   int // nodes that may hold the rounded-up share
}

func newBalance(runners []runner.Runner, serving []sess.Session) *balance {
	b := &balance{wished: Spread{}, load: map[string]int{}, centres: map[string]string{}}
	for _, s := range serving {
		b.ids = append(b.ids, s.ID())
		b.load[s.ID()] = 0
		b.centres[s.ID()] = s.Centre
	}
	sort.Strings(b.ids)
	b.most = (len(runners) + len(b.ids) - 1) / len(b.ids)
	b.spare = len(runners) - (b.most-1)*len(b.ids)
	return b
}

func (b *balance) keep(runners []runner.Runner, held map[string]string) {
	for _, r := range runners {
		id := held[r.Name]
		if _, serving := b.load[id]; serving && b.fits(id) {
			b.give(r.Name, id)
		}
	}
}

// fits reports whether id may hold one more runner without making the spread uneven.
func (b *balance) fits(id string) bool {
	load := b.load[id]
	if load < b.most-1 {
		return true
	}
	return load < b.most && b.spare > 0
}

func (b *balance) give(name, id string) {
	b.wished[name] = id
	b.load[id]++
	if b.load[id] == b.most {
		b.spare--
	}
}

func (b *balance) assign(r runner.Runner) {
	best := ""
	for _, id := range b.ids {
		if b.fits(id) && b.better(r, id, best) {
			best = id
		}
	}
	b.give(r.Name, best)
}

func (b *balance) better(r runner.Runner, id, best string) bool {
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
