// Package pick chooses among upstreams that could serve a request, by how busy and how sound each seems.
package pick

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/target"
)

const (
	// memory is the weight of the newest outcome in an upstream's share of failures: some ten outcomes count.
	memory = 0.12
	// blame is how many times busier an upstream counts that fails always.
	blame = 6.0
	// leastRest and mostRest bound how long an upstream is left alone after it could not be reached or broke off. The first
	// is short, since a lost connection may be the only trouble; crashed engines are back after seconds.
	leastRest = 150 * time.Millisecond
	mostRest  = 3 * time.Second
	// toldLife is how long another host's counts are believed.
	toldLife = 3 * time.Second
	// perWait is the wait for prompts of others that weighs as much as one request that runs.
	perWait = 20 * time.Millisecond
	// noise spreads the choices of hosts that know the same: what they were told is some tenths of a second old, and without it
	// all would send to the engine that was the least busy then.
	noise = 0.3
	// far is what a send to another data centre counts beside requests that run: bytes between data centres cost, and
	// they are the first that a cut stops.
	far = 0.7
)

// Pick may be used from several goroutines.
type Pick struct {
	// Slow returns how many times slower than the usual one an upstream is; nil means that all are alike.
	Slow func(id string) float64

	centre string

	mu    sync.Mutex
	loads map[string]*load
}

type load struct {
	running int
	failed  float64 // share of recent requests that failed for reasons of the upstream
	streak  int     // times it was left alone, one after the other
	until   time.Time
	wait    time.Duration
	waitAt  time.Time // when wait was told
	told    int
	begun   int // requests that this host has sent since
	toldAt  time.Time
}

// NewPick returns a chooser for a host in a data centre.
func NewPick(centre string) *Pick {
	return &Pick{centre: centre, loads: map[string]*load{}}
}

func (p *Pick) of(id string) *load {
	l, ok := p.loads[id]
	if !ok {
		l = &load{}
		p.loads[id] = l
	}
	return l
}

// Begin counts a request that is sent to an upstream.
func (p *Pick) Begin(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.of(id)
	l.running++
	l.begun++
}

// End counts its end, and whether the upstream failed it.
func (p *Pick) End(id string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.of(id)
	l.running--
	value := 0.0
	if failed {
		value = 1
	}
	l.failed += memory * (value - l.failed)
	if !failed {
		l.streak = 0
	}
}

// Rest leaves an upstream alone for a while, longer each time until it serves a request again.
func (p *Pick) Rest(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.of(id)
	if now.Before(l.until) {
		return
	}
	rest := min(mostRest, leastRest<<min(l.streak, 5))
	l.streak++
	l.until = now.Add(rest)
}

// Waits records how long a prompt would wait at an engine.
func (p *Pick) Waits(id string, wait time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.of(id)
	l.wait, l.waitAt = wait, now
}

// Waiting returns how long a prompt would wait at an engine.
func (p *Pick) Waiting(id string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.loads[id]
	if !ok {
		return 0
	}
	return l.waiting(now)
}

// waiting returns what is left of a wait that was told a moment ago.
func (l *load) waiting(now time.Time) time.Duration {
	return max(0, l.wait-now.Sub(l.waitAt))
}

// Told records how many requests were sent of late to an engine, as the host knows that gives it its orders.
func (p *Pick) Told(id string, n int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.of(id)
	l.told, l.toldAt, l.begun = n, now, 0
}

// Forget drops upstreams that are gone.
func (p *Pick) Forget(targets map[string]target.Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.loads {
		if _, ok := targets[id]; !ok && l.running == 0 {
			delete(p.loads, id)
		}
	}
}

// Busy returns how much an upstream has to do: the requests that it is known to have running, each as often as the upstream is slower than
// the usual one.
func (p *Pick) Busy(id string, now time.Time) float64 {
	return p.slow(id) * float64(p.Load(id, now))
}

// Mean returns how much upstreams have to do on average.
func (p *Pick) Mean(list []target.Target, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, t := range list {
		if n := p.total(t.ID, now); n != 0 {
			sum += p.slow(t.ID) * float64(n)
		}
	}
	return sum / float64(len(list))
}

func (p *Pick) slow(id string) float64 {
	if p.Slow == nil {
		return 1
	}
	return p.Slow(id)
}

// Load returns how many requests an upstream is known to have running.
func (p *Pick) Load(id string, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total(id, now)
}

func (p *Pick) total(id string, now time.Time) int {
	l, ok := p.loads[id]
	switch {
	case !ok:
		return 0
	case now.Sub(l.toldAt) > toldLife:
		return l.running
	default:
		return max(l.running, l.told+l.begun)
	}
}

// Order returns the candidates, the best first. Those that rest come last, the one that rests least first: a request
// that has no other way is better tried there than refused.
func (p *Pick) Order(candidates []target.Target, now time.Time) []target.Target {
	type scored struct {
		target target.Target
		rest   time.Duration
		score  float64
	}
	p.mu.Lock()
	list := make([]scored, 0, len(candidates))
	for _, t := range candidates {
		l := p.of(t.ID)
		s := scored{target: t, rest: max(0, l.until.Sub(now))}
		// The shortest expected delay: the streams that share an engine take turns, so that one more is done later by the number of those
		// that run, and by what a turn takes there.
		s.score = (p.slow(t.ID)*float64(p.total(t.ID, now)+1) + float64(l.waiting(now)/perWait)) * (1 + blame*l.failed)
		if t.Centre != p.centre {
			s.score += far
		}
		s.score *= 1 + noise*rand.Float64()
		list = append(list, s)
	}
	p.mu.Unlock()
	slices.SortStableFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.rest, b.rest), cmp.Compare(a.score, b.score))
	})
	sorted := make([]target.Target, len(list))
	for i, s := range list {
		sorted[i] = s.target
	}
	return sorted
}

// Resting reports whether an upstream is left alone at present.
func (p *Pick) Resting(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.loads[id]
	return ok && now.Before(l.until)
}
