// Package pick ranks the upstreams that can serve a request by load, failures and distance.
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
	// failureWeight is the weight of the newest outcome in an upstream's failure share; about ten outcomes count.
	failureWeight = 0.12
	// failurePenalty is the relative increase of the score of an upstream that always fails.
	failurePenalty = 6.0
	// minBackoff and maxBackoff bound the backoff after an upstream was unreachable or broke a connection. The first one is
	// short, since a lost connection may be the only trouble; crashed engines are back after seconds.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 3 * time.Second
	// reportTTL is how long a request count from another host is used.
	reportTTL = 3 * time.Second
	// waitPerRequest is the wait for queued prompts that weighs as much as one running request.
	waitPerRequest = 20 * time.Millisecond
	// scoreJitter spreads the choices of hosts that have the same counts. Counts are some tenths of a second old, and without
	// jitter all hosts would send to the engine that was the least busy one then.
	scoreJitter = 0.3
	// remoteCost is what another data centre adds to a score, in running requests: traffic between data centres costs, and
	// a network partition breaks it first.
	remoteCost = 0.7
)

// Pick ranks upstreams for one host. It is safe for concurrent use.
type Pick struct {
	// Slowdown returns how many times slower than the reference engine an upstream is; nil means that all are equal.
	Slowdown func(id string) float64

	centre string

	mu     sync.Mutex
	states map[string]*state
}

type state struct {
	running        int
	failureShare   float64 // share of recent requests that failed through the upstream's fault
	backoffs       int     // backoffs in a row
	backoffUntil   time.Time
	wait           time.Duration
	waitReportedAt time.Time
	reported       int
	sentSince      int // requests sent by this host since the report
	reportedAt     time.Time
}

// NewPick returns a Pick for a host in the given data centre.
func NewPick(centre string) *Pick {
	return &Pick{centre: centre, states: map[string]*state{}}
}

func (p *Pick) stateOf(id string) *state {
	l, ok := p.states[id]
	if !ok {
		l = &state{}
		p.states[id] = l
	}
	return l
}

// Begin counts a request that is sent to an upstream.
func (p *Pick) Begin(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.stateOf(id)
	l.running++
	l.sentSince++
}

// End counts the end of a request and whether it failed through the upstream's fault.
func (p *Pick) End(id string, failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.stateOf(id)
	l.running--
	value := 0.0
	if failed {
		value = 1
	}
	l.failureShare += failureWeight * (value - l.failureShare)
	if !failed {
		l.backoffs = 0
	}
}

// BackOff avoids an upstream for a while that doubles each time until the upstream serves a request again.
func (p *Pick) BackOff(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.stateOf(id)
	if now.Before(l.backoffUntil) {
		return
	}
	backoff := min(maxBackoff, minBackoff<<min(l.backoffs, 5))
	l.backoffs++
	l.backoffUntil = now.Add(backoff)
}

// SetWait records how long a prompt would wait at an engine.
func (p *Pick) SetWait(id string, wait time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.stateOf(id)
	l.wait, l.waitReportedAt = wait, now
}

// Wait returns how long a prompt would wait at an engine.
func (p *Pick) Wait(id string, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.states[id]
	if !ok {
		return 0
	}
	return l.remainingWait(now)
}

// remainingWait returns what is left of the last reported wait.
func (l *state) remainingWait(now time.Time) time.Duration {
	return max(0, l.wait-now.Sub(l.waitReportedAt))
}

// SetReported records the number of requests recently sent to an engine, as reported by its owner.
func (p *Pick) SetReported(id string, n int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.stateOf(id)
	l.reported, l.reportedAt, l.sentSince = n, now, 0
}

// Forget drops upstreams that are gone.
func (p *Pick) Forget(targets map[string]target.Target, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.states {
		if _, ok := targets[id]; !ok && l.running == 0 {
			delete(p.states, id)
		}
	}
}

// WeightedLoad returns the number of requests known to run on an upstream, times its slowdown.
func (p *Pick) WeightedLoad(id string, now time.Time) float64 {
	return p.slowdown(id) * float64(p.Running(id, now))
}

// MeanLoad returns the mean weighted load of upstreams.
func (p *Pick) MeanLoad(list []target.Target, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, t := range list {
		if n := p.running(t.ID, now); n != 0 {
			sum += p.slowdown(t.ID) * float64(n)
		}
	}
	return sum / float64(len(list))
}

func (p *Pick) slowdown(id string) float64 {
	if p.Slowdown == nil {
		return 1
	}
	return p.Slowdown(id)
}

// Running returns the number of requests known to run on an upstream.
func (p *Pick) Running(id string, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running(id, now)
}

func (p *Pick) running(id string, now time.Time) int {
	l, ok := p.states[id]
	switch {
	case !ok:
		return 0
	case now.Sub(l.reportedAt) > reportTTL:
		return l.running
	default:
		return max(l.running, l.reported+l.sentSince)
	}
}

// Order returns the candidates, best first. Those in backoff come last, the shortest remaining backoff first: a request
// without another candidate is better tried there than refused.
func (p *Pick) Order(candidates []target.Target, now time.Time) []target.Target {
	type scored struct {
		target  target.Target
		backoff time.Duration
		score   float64
	}
	p.mu.Lock()
	list := make([]scored, 0, len(candidates))
	for _, t := range candidates {
		l := p.stateOf(t.ID)
		s := scored{target: t, backoff: max(0, l.backoffUntil.Sub(now))}
		// The expected delay: streams on an engine share its steps, so a new request takes longer with each running one and
		// with the engine's slowdown.
		s.score = (p.slowdown(t.ID)*float64(p.running(t.ID, now)+1) + float64(l.remainingWait(now)/waitPerRequest)) *
			(1 + failurePenalty*l.failureShare)
		if t.Centre != p.centre {
			s.score += remoteCost
		}
		s.score *= 1 + scoreJitter*rand.Float64()
		list = append(list, s)
	}
	p.mu.Unlock()
	slices.SortStableFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.backoff, b.backoff), cmp.Compare(a.score, b.score))
	})
	sorted := make([]target.Target, len(list))
	for i, s := range list {
		sorted[i] = s.target
	}
	return sorted
}

// InBackoff reports whether an upstream is in backoff.
func (p *Pick) InBackoff(id string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.states[id]
	return ok && now.Before(l.backoffUntil)
}
