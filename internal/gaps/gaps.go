// Package gaps keeps the newest times between two events of the streams that one host has at one engine.
package gaps

import (
	"slices"
	"time"
)

const (
	// size is how many times are kept: about as many as one stream has.
	size = 32
	// life is how long a time counts. An engine may turn slow from one second to the next.
	life = 3 * time.Second
)

// Gaps is used from one goroutine at a time.
type Gaps struct {
	ring [size]gap
	next int
	last quartile
}

// quartile is what Quartile found last.
type quartile struct {
	took  time.Duration
	count int
	until time.Time // when the oldest of them counts no more; zero where a time came since
}

type gap struct {
	took time.Duration
	at   time.Time
}

// Add takes the time between two events.
func (g *Gaps) Add(took time.Duration, now time.Time) {
	g.ring[g.next%size] = gap{took, now}
	g.next++
	g.last = quartile{}
}

// Quartile returns the time that a quarter of those that count lie below, and how many count. Most events of an engine that is not
// overloaded come without the prompt of another request between them and the one before; the quartile is such a plain one.
func (g *Gaps) Quartile(now time.Time) (time.Duration, int) {
	if !now.Before(g.last.until) {
		g.last = g.find(now)
	}
	return g.last.took, g.last.count
}

// find goes over all times that count.
func (g *Gaps) find(now time.Time) quartile {
	var room [size]time.Duration
	fresh, oldest := room[:0], now
	for _, one := range g.ring[:min(g.next, size)] {
		if now.Sub(one.at) >= life {
			continue
		}
		fresh = append(fresh, one.took)
		if one.at.Before(oldest) {
			oldest = one.at
		}
	}
	if len(fresh) == 0 {
		return quartile{}
	}
	slices.Sort(fresh)
	return quartile{took: fresh[len(fresh)/4], count: len(fresh), until: oldest.Add(life)}
}
