// Package tally keeps what speaks against and for keys that may stand for what crashes upstreams: requests, or parts that prompts share.
package tally

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"damaskreach/internal/block"
	"damaskreach/internal/recent"
)

const (
	// breakTTL is how long breaks count after the last one: callers retry within minutes.
	breakTTL = 2 * time.Minute
	// soundTime is how long breaks do not count against a key after a request with it ran well at this host. Where many upstreams crash together
	// for another reason, what most of their requests have in common must not be blocked.
	soundTime = 1500 * time.Millisecond
	// tellInterval is the shortest time between two reports that a key is sound, of this host or heard from others.
	tellInterval = 2 * time.Second
	// soundRetention is how long a soundness is kept: longer than soundTime and the second in which a break is judged together, and than tellInterval.
	soundRetention = 3 * time.Second
	// blockGrowth is by how much each block of a key is longer than the one before, up to maxBlock. When a block ends, one request is let through: nothing
	// else can show that the key is sound.
	blockGrowth = 8
	maxBlock    = 24 * time.Hour
	// evictDivisor: where there are too many records, 1/evictDivisor of them is dropped.
	evictDivisor = 4
	// maxBreaks bounds the breaks that are kept of a key: more decide nothing.
	maxBreaks = 64
)

// Tally holds one record for each key. It may be used from one goroutine at a time.
type Tally struct {
	interval   time.Duration
	blockTime  time.Duration
	maxRecords int
	records    map[string]record
	sound      *recent.Recent[string, soundness]
}

// record is what speaks against one key.
type record struct {
	breaks map[string]int64 // Unix times in ms, by incarnation of upstream
	last   time.Time        // when a break was last added
	block  block.Block      // the last one; the zero value if there was none
	length time.Duration    // of that block
}

func (r record) blocked(now time.Time) bool { return now.Before(r.block.Until) }

// onTrial reports whether the last block has ended and one more break begins the next: that is so for as long as the block has lasted.
func (r record) onTrial(now time.Time) bool {
	return r.block.Times > 0 && !r.blocked(now) && now.Before(r.block.Until.Add(r.length))
}

func (r record) expired(now time.Time) bool {
	return now.Sub(r.last) > breakTTL && !r.blocked(now) && !r.onTrial(now)
}

// soundness is what speaks for one key.
type soundness struct {
	ranAt  time.Time // when a request with the key last ran well here
	toldAt time.Time // when hosts were last told so, by this host or another one
}

// NewTally returns an empty tally of up to maxRecords keys with breaks and twice maxSound keys that ran well. Breaks within an interval of each other
// count once, and keys are blocked for blockTime.
func NewTally(interval, blockTime time.Duration, maxRecords, maxSound int) *Tally {
	return &Tally{
		interval: interval, blockTime: blockTime, maxRecords: maxRecords, records: map[string]record{},
		sound: recent.NewRecent[string, soundness](soundRetention, maxSound),
	}
}

// Add counts the break of an upstream against a key, which came at a Unix time in ms. It reports false if it is known.
func (t *Tally) Add(key, upstream string, at int64, now time.Time) bool {
	r := t.records[key]
	if _, known := r.breaks[upstream]; known && !r.expired(now) {
		return false
	}
	if len(t.records) >= t.maxRecords && r.breaks == nil {
		t.evict(now)
	}
	if r.breaks == nil || r.expired(now) {
		if r.expired(now) {
			r = record{}
		}
		r.breaks = map[string]int64{}
	}
	kept := len(r.breaks) < maxBreaks
	if kept {
		r.breaks[upstream] = at
	}
	r.last = now
	if r.blocked(now) {
		r.block = r.block.WithLater(block.Block{Until: now.Add(t.blockTime)})
	}
	t.records[key] = r
	return kept
}

// evict drops some of the records, those that are the least likely to be of the cause first: the ones with few breaks, and blocked ones last.
func (t *Tally) evict(now time.Time) {
	rank := func(r record) int {
		if r.blocked(now) || r.onTrial(now) {
			return math.MaxInt
		}
		return len(r.breaks)
	}
	keys := slices.SortedFunc(maps.Keys(t.records), func(a, b string) int {
		one, other := t.records[a], t.records[b]
		return cmp.Or(cmp.Compare(rank(one), rank(other)), one.last.Compare(other.last))
	})
	for _, key := range keys[:len(keys)/evictDivisor+1] {
		delete(t.records, key)
	}
}

// Count returns how many upstreams broke off under requests with a key, those within an interval of each other counted once.
func (t *Tally) Count(key string, now time.Time) (count int) {
	r := t.records[key]
	if r.expired(now) {
		return 0
	}
	if t.interval == 0 {
		return len(r.breaks)
	}
	var counted int64
	for _, at := range slices.Sorted(maps.Values(r.breaks)) {
		if count == 0 || at-counted >= t.interval.Milliseconds() {
			count, counted = count+1, at
		}
	}
	return count
}

// Upstreams returns the upstreams that count against a key.
func (t *Tally) Upstreams(key string, now time.Time) []string {
	r := t.records[key]
	if r.expired(now) {
		return nil
	}
	return slices.Collect(maps.Keys(r.breaks))
}

// Block blocks a key.
func (t *Tally) Block(key string, now time.Time) {
	r := t.records[key]
	r.length = t.blockLength(r.block.Times)
	r.block = block.Block{Until: now.Add(r.length), Times: r.block.Times + 1}
	t.records[key] = r
}

// blockLength returns the length of a block after a number of others.
func (t *Tally) blockLength(before int) time.Duration {
	length := t.blockTime
	for ; before > 0 && length < maxBlock; before-- {
		length = min(blockGrowth*length, maxBlock)
	}
	return length
}

// OnTrial reports whether the last block of a key has ended and one more break begins the next.
func (t *Tally) OnTrial(key string, now time.Time) bool {
	return t.records[key].onTrial(now)
}

// Blocked reports whether no request with a key may be sent.
func (t *Tally) Blocked(key string, now time.Time) bool {
	return t.records[key].blocked(now)
}

// Forget drops the breaks that count against a key and returns their number.
func (t *Tally) Forget(key string) (breaks int) {
	breaks = len(t.records[key].breaks)
	delete(t.records, key)
	return breaks
}

// RecordSound records that a request with a key ran well, which takes back all breaks. It returns their number.
func (t *Tally) RecordSound(key string, now time.Time) (breaks int) {
	s, _ := t.sound.Get(key)
	s.ranAt = now
	t.sound.Set(key, s, now)
	return t.Forget(key)
}

// Sound reports whether requests with a key have run well here since shortly before a break, so that it says nothing against the key.
func (t *Tally) Sound(key string, broke time.Time) bool {
	s, _ := t.sound.Get(key)
	return s.ranAt.After(broke.Add(-soundTime))
}

// HeardSound takes back all breaks of a key, since another host tells that requests with it run well.
func (t *Tally) HeardSound(key string, now time.Time) {
	t.Forget(key)
	t.setTold(key, now)
}

// MayTell reports whether other hosts should be told that a key is sound, as they were not told just now, and records that they are.
func (t *Tally) MayTell(key string, now time.Time) bool {
	if s, _ := t.sound.Get(key); now.Sub(s.toldAt) < tellInterval {
		return false
	}
	t.setTold(key, now)
	return true
}

func (t *Tally) setTold(key string, now time.Time) {
	s, _ := t.sound.Get(key)
	s.toldAt = now
	t.sound.Set(key, s, now)
}

// Blocks returns the keys that are blocked or on trial, no more than a number of those whose blocks end last.
func (t *Tally) Blocks(most int, now time.Time) map[string]block.Block {
	blocks := map[string]block.Block{}
	for key, r := range t.records {
		if r.blocked(now) || r.onTrial(now) {
			blocks[key] = r.block
		}
	}
	if len(blocks) > most {
		keys := slices.SortedFunc(maps.Keys(blocks), func(a, b string) int { return blocks[a].Until.Compare(blocks[b].Until) })
		for _, key := range keys[:len(keys)-most] {
			delete(blocks, key)
		}
	}
	return blocks
}

// Restore adds blocks that were begun before this host started or that another host knows.
func (t *Tally) Restore(blocks map[string]block.Block, now time.Time) {
	for key, b := range blocks {
		r := t.records[key]
		if b.Until.After(now.Add(maxBlock)) {
			b.Until = now.Add(maxBlock) // of a host whose clock is wrong
		}
		r.block = r.block.WithLater(b)
		r.length = max(r.length, t.blockLength(r.block.Times-1))
		if !r.expired(now) {
			t.records[key] = r
		}
	}
}
