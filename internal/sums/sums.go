// Package sums adds up what the nodes of a site used of the limits that one node gathers for all.
//
// It does no I/O and starts no goroutines: time comes in as an argument. A Sums is used from one goroutine.
package sums

import "time"

const (
	counts = time.Minute // how long a report does: as long as use counts against a limit
	// Young is how long it takes until all that use a key report it to a node that has become its home: a reading of the
	// sessions and a report.
	Young = 3 * time.Second
)

// Sums holds the newest report of each process on each key.
type Sums struct {
	keys  map[string]*key
	moved time.Time // when the homes of keys may have changed last
	swept time.Time
}

type key struct {
	first time.Time
	uses  map[uint32]use // by life
}

type use struct {
	used float64
	at   time.Time
}

// NewSums returns sums without reports.
func NewSums(now time.Time) *Sums {
	return &Sums{keys: map[string]*key{}, moved: now, swept: now}
}

// Moved notes that the nodes have changed, so that reports of others on keys that are new here may be missing.
func (s *Sums) Moved(now time.Time) {
	s.moved = now
}

// Take takes what one life of a node used of each key and returns what the others did. It is not sure of it while it may not have
// heard of all: an asker that took that for all there is would let a whole limit through a second time.
func (s *Sums) Take(now time.Time, life uint32, names []string, used []float64) (elsewhere []float64, sure bool) {
	s.sweep(now)
	sure = true
	for i, name := range names {
		k := s.key(now, name)
		sure = sure && (now.Sub(s.moved) >= Young || now.Sub(k.first) >= Young)
		k.uses[life] = use{used: used[i], at: now}
		elsewhere = append(elsewhere, k.others(now, life))
	}
	return elsewhere, sure
}

func (s *Sums) key(now time.Time, name string) *key {
	k := s.keys[name]
	if k == nil {
		k = &key{first: now, uses: map[uint32]use{}}
		s.keys[name] = k
	}
	return k
}

func (k *key) others(now time.Time, life uint32) float64 {
	sum := 0.0
	for other, u := range k.uses {
		if other != life && now.Sub(u.at) < counts {
			sum += u.used
		}
	}
	return sum
}

// sweep forgets reports that count no more, once in their life.
func (s *Sums) sweep(now time.Time) {
	if now.Sub(s.swept) < counts {
		return
	}
	s.swept = now
	for name, k := range s.keys {
		for life, u := range k.uses {
			if now.Sub(u.at) >= counts {
				delete(k.uses, life)
			}
		}
		if len(k.uses) == 0 {
			delete(s.keys, name)
		}
	}
}
