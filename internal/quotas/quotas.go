// Package quotas counts the units that teams use, for the shards of the limits that this host holds.
//
// Each shard is leased to one host at a time. A host that gains a shard doesn't know what the former holder gave out and starts
// with empty buckets: what it gives out, together with all that former holders gave out, stays within the limit.
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
	// checkInterval is how often gained shards are detected and counts of idle teams dropped.
	checkInterval = 100 * time.Millisecond
	// idleTTL is how long a team's count is kept without requests.
	idleTTL = 5 * time.Minute
)

// Quotas is safe for concurrent use. Its fields are set before Run.
type Quotas struct {
	// Shards returns the names of all shards of the limits.
	Shards func() []string
	// Held returns the fencing token under which this host holds a shard, and since when; ok is false if it doesn't.
	Held  func(shard string) (fence int64, since time.Duration, ok bool)
	Clock func() time.Duration // also advances while the machine is suspended
	Life  string               // identifies this process among others on the same host

	mu     sync.Mutex
	shards map[string]*shard
}

// shard is a shard that this host holds or held last.
type shard struct {
	fence int64
	since time.Duration // start of the lease; only this process has given out units since
	teams map[string]*teamCount
}

type teamCount struct {
	bucket     *bucket.Bucket
	version    int64
	lastCharge time.Duration // when it was last charged
}

// Run detects gained shards until ctx ends, so that their buckets fill from then on, not only from the first request on.
func (q *Quotas) Run(ctx context.Context) {
	for range ticker.Repeat(ctx, checkInterval, nil) {
		q.checkShards()
	}
}

func (q *Quotas) checkShards() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock()
	for _, name := range q.Shards() {
		if p := q.heldShard(name); p != nil {
			p.dropIdle(now)
		}
	}
}

// heldShard returns a shard that this host holds, or nil.
func (q *Quotas) heldShard(name string) *shard {
	fence, since, ok := q.Held(name)
	if !ok {
		return nil
	}
	if p := q.shards[name]; p != nil && p.fence == fence {
		return p
	}
	if q.shards == nil {
		q.shards = map[string]*shard{}
	}
	q.shards[name] = &shard{fence: fence, since: since, teams: map[string]*teamCount{}}
	return q.shards[name]
}

func (p *shard) dropIdle(now time.Duration) {
	for name, c := range p.teams {
		if now-c.lastCharge > idleTTL && c.bucket.Full(now) {
			delete(p.teams, name)
		}
	}
}

// Charge grants or refuses a charge, or takes back unused units if they are negative.
func (q *Quotas) Charge(c charge.Charge) ruling.Ruling {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock()
	p := q.heldShard(c.Shard)
	if p == nil {
		return ruling.Ruling{}
	}
	counter := p.countOf(c, now)
	if c.Units < 0 {
		if c.Life == q.Life {
			counter.bucket.Return(now, -c.Units, c.Taken)
		}
		return ruling.Ruling{Counted: true}
	}
	taken, wait := counter.bucket.Take(now, c.Units, c.Over)
	return ruling.Ruling{Counted: true, Units: taken, Wait: wait, Life: q.Life, Taken: now}
}

// countOf returns the count of a team, under the newest known version of its limit.
func (p *shard) countOf(c charge.Charge, now time.Duration) *teamCount {
	counter := p.teams[c.Team]
	if counter == nil {
		counter = &teamCount{bucket: bucket.NewBucket(c.Rate, c.Burst, p.since), version: c.Version}
		p.teams[c.Team] = counter
	}
	if c.Version > counter.version {
		counter.bucket.SetLimit(now, c.Rate, c.Burst)
		counter.version = c.Version
	}
	counter.lastCharge = now
	return counter
}
