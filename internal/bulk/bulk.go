// Package bulk decides how many engines read the prompts that hold streams up by themselves.
//
// Some prompts take longer to read than streams may pause. Wherever one is read, every stream of that engine pauses for too long;
// one would notice streams that pause just longer than they may, all of one engine at the same moment, most often the long ones.
// Read at a few engines that have few streams for this, they hold up few. On a site of 18 engines where two such prompts came a
// second, 365 of 7,650 streams paused for too long when they went anywhere, and 219 when they went to two engines; offline a
// seventh (TestFewStreamsPauseForLargePrompts).
package bulk

import (
	"math"
	"sync"
	"time"
)

const (
	// busy is the part of the time for which such an engine may read: prompts that come at random wait for a third of the time
	// that they take to read themselves, and their streams see few others read.
	busy = 0.4
	// keepFor is how long engines are kept after they were needed last: streams that go to an engine as soon as it is free meet the
	// next large prompt there.
	keepFor = 30 * time.Second
	// toldFor is how long what another host told is believed.
	toldFor = 3 * time.Second
	// memory is the time over which the work is measured: some ten such prompts at the rates seen.
	memory = 30 * time.Second
	// leastSpan is the shortest time that the first prompts are taken to have come in: one prompt right after the start says
	// nothing about a rate.
	leastSpan = 10 * time.Second
	// mostShare is the largest part of all engines that is used so: beyond it too few would be left for all other requests.
	mostShare = 0.25
	// least is how many engines there must be: fewer cannot spare one.
	least = 6
	// none is the rate below which no engine is kept: one such prompt in some minutes.
	none = 0.002
)

// Bulk measures the work of such prompts at one host, and takes what others measure: hosts that keep different engines put streams
// where others send large prompts. It may be used from several goroutines.
type Bulk struct {
	mu     sync.Mutex
	begun  time.Time
	at     time.Time
	work   float64 // seconds of reading, fading as time passes
	told   map[string]told
	kept   int
	keptAt time.Time // when so many were needed last
}

// told is the rate that another host measures.
type told struct {
	rate float64
	at   time.Time
}

// Note records a prompt that takes cost to read.
func (b *Bulk) Note(cost time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.begun.IsZero() {
		b.begun = now
	}
	b.work = b.left(now) + cost.Seconds()
	b.at = now
}

// left returns what still counts of the work noted.
func (b *Bulk) left(now time.Time) float64 {
	return b.work * math.Exp(-now.Sub(b.at).Seconds()/memory.Seconds())
}

// Rate returns the work of such prompts at this host, in seconds of reading a second.
func (b *Bulk) Rate(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rate(now)
}

func (b *Bulk) rate(now time.Time) float64 {
	if b.begun.IsZero() {
		return 0
	}
	span := min(memory, max(leastSpan, now.Sub(b.begun)))
	return b.left(now) / span.Seconds()
}

// Hear takes the rate that another host measures.
func (b *Bulk) Hear(host string, rate float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.told == nil {
		b.told = map[string]told{}
	}
	b.told[host] = told{rate, now}
}

// Engines returns how many of all engines should read such prompts; none where there are no such prompts, or too few engines.
func (b *Bulk) Engines(all int, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := b.rate(now)
	for host, t := range b.told {
		if now.Sub(t.at) > toldFor {
			delete(b.told, host)
			continue
		}
		sum += t.rate
	}
	if all < least || sum < none {
		return 0
	}
	if needed := int(math.Ceil(sum / busy)); needed >= b.kept || now.Sub(b.keptAt) > keepFor {
		b.kept, b.keptAt = needed, now
	}
	return max(1, min(b.kept, int(mostShare*float64(all))))
}
