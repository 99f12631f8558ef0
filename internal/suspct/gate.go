package suspct

import (
	"slices"
	"time"
)

// emptyWait is how long a suspect waits for a runner's other requests to end before it runs beside them. A busy runner
// may not be empty for minutes, and the suspect is most likely one of those that did no harm.
const emptyWait = 2 * time.Second

// gate lets requests to one runner in the order in which they come; a suspect has the runner to itself.
// It is used under the lock of its Suspect.
type gate struct {
	queue   []*pass
	inside  []*pass
	last    crash
	crashed time.Time // of the last crash
}

// pass is one request at a gate.
type pass struct {
	alone   bool
	since   time.Time     // when it came to the front of the queue
	begun   time.Time     // when its dispatch began; zero before
	granted chan struct{} // closed when it may go in
}

func (g *gate) add(alone bool) *pass {
	p := &pass{alone: alone, granted: make(chan struct{})}
	g.queue = append(g.queue, p)
	return p
}

// admit lets in all that may go in and returns how long the first one left waits at the most; 0 means for a leave.
func (g *gate) admit(now time.Time) time.Duration {
	for len(g.queue) > 0 {
		p := g.queue[0]
		if p.since.IsZero() {
			p.since = now
		}
		if !g.open(now, p) {
			if g.occupied() {
				return 0
			}
			return p.since.Add(emptyWait).Sub(now)
		}
		g.queue = g.queue[1:]
		g.inside = append(g.inside, p)
		close(p.granted)
	}
	return 0
}

// open reports whether the first of the queue may go in.
func (g *gate) open(now time.Time, p *pass) bool {
	switch {
	case g.occupied():
		return false
	case !p.alone || len(g.inside) == 0:
		return true
	}
	return now.Sub(p.since) >= emptyWait
}

// occupied reports whether a suspect is inside.
func (g *gate) occupied() bool {
	return slices.ContainsFunc(g.inside, func(p *pass) bool { return p.alone })
}

func (g *gate) remove(p *pass) {
	same := func(other *pass) bool { return other == p }
	g.queue = slices.DeleteFunc(g.queue, same)
	g.inside = slices.DeleteFunc(g.inside, same)
}

func (g *gate) suspects() int {
	count := 0
	for _, p := range g.queue {
		if p.alone {
			count++
		}
	}
	if g.occupied() {
		count++
	}
	return count
}
