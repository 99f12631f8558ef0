// Package quotas counts what teams use of their limits, for the parts of the limits that this host holds.
//
// Each part lies at one host at a time, by its lease. A host that gets a part does not know what the one before it gave out, and takes
// the part for empty: what it gives out from then on, together with all that any host gave out before, stays within the limit.
package quotas

import (
	"context"
	"sync"
	"time"

	"damaskreach/internal/bucket"
	"damaskreach/internal/charge"
	"damaskreach/internal/ruling"
	"damaskreach/internal/ticker"
)

const (
	// checkEvery is how often parts gained or lost are noticed.
	checkEvery = 100 * time.Millisecond
	// idleFor is how long a team's count is kept without a request.
	idleFor = 5 * time.Minute
)

// Quotas may be used from several goroutines. Its fields are set before Run.
type Quotas struct {
	// Parts returns the parts of the limits that there are.
	Parts func() []string
	// Held returns the token by which this host holds a part now, and since when; false means that it does not.
	Held  func(part string) (fence int64, since time.Duration, ok bool)
	Clock func() time.Duration // goes on through suspensions
	Life  string               // tells this process from another on the same host

	mu    sync.Mutex
	parts map[string]*part
}

// part is one part that this host holds or held last.
type part struct {
	fence int64
	since time.Duration // when this host began to hold it; nothing was given out from then on but by this process
	teams map[string]*count
}

type count struct {
	bucket  *bucket.Bucket
	version int64
	used    time.Duration // when it was last charged
}

// Run notices parts that this host gains until ctx ends: units come in from then on, and not from the first request on.
func (q *Quotas) Run(ctx context.Context) {
	for range ticker.Repeat(ctx, checkEvery, nil) {
		q.check()
	}
}

func (q *Quotas) check() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock()
	for _, name := range q.Parts() {
		if p := q.held(name); p != nil {
			p.forget(now)
		}
	}
}

// held returns a part that this host holds; nil where it does not.
func (q *Quotas) held(name string) *part {
	fence, since, ok := q.Held(name)
	if !ok {
		return nil
	}
	if p := q.parts[name]; p != nil && p.fence == fence {
		return p
	}
	if q.parts == nil {
		q.parts = map[string]*part{}
	}
	q.parts[name] = &part{fence: fence, since: since, teams: map[string]*count{}}
	return q.parts[name]
}

func (p *part) forget(now time.Duration) {
	for name, c := range p.teams {
		if now-c.used > idleFor && c.bucket.Idle(now) {
			delete(p.teams, name)
		}
	}
}

// Charge decides on a charge, or takes back what was not used.
func (q *Quotas) Charge(c charge.Charge) ruling.Ruling {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock()
	p := q.held(c.Part)
	if p == nil {
		return ruling.Ruling{}
	}
	of := p.count(c, now)
	if c.Units < 0 {
		if c.Life == q.Life {
			of.bucket.Return(now, -c.Units, c.Taken)
		}
		return ruling.Ruling{Counts: true}
	}
	taken, wait := of.bucket.Take(now, c.Units, c.Over)
	return ruling.Ruling{Counts: true, Units: taken, Wait: wait, Life: q.Life, Taken: now}
}

// count returns the count of a team under the newest limit that is known of.
func (p *part) count(c charge.Charge, now time.Duration) *count {
	of := p.teams[c.Team]
	if of == nil {
		of = &count{bucket: bucket.NewBucket(c.Rate, c.Burst, p.since), version: c.Version}
		p.teams[c.Team] = of
	}
	if c.Version > of.version {
		of.bucket.Limit(now, c.Rate, c.Burst)
		of.version = c.Version
	}
	of.used = now
	return of
}
