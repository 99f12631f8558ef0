// Package origin remembers where streams began.
//
// Builds of the engines' software do not understand each other's streams, and engines do not check who began one. Resumed at another
// build, a stream is garbled without any error.
package origin

import (
	"sync"
	"time"

	"damaskreach/internal/began"
)

const (
	// Retention is the shortest time for which a stream is remembered: longer than callers wait for one.
	Retention = time.Minute
	// maxRecent bounds the records of one retention, some 150 bytes each.
	maxRecent = 20000
)

// Origin may be used from several goroutines. The zero value is empty.
type Origin struct {
	mu            sync.Mutex
	recent, older map[string]began.Began // by attempt
	since         time.Time              // of recent
}

// Add remembers where a stream began.
func (o *Origin) Add(b began.Began, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rotate(now)
	o.recent[b.Attempt] = b
}

// rotate drops records after one to two retentions.
func (o *Origin) rotate(now time.Time) {
	if o.recent != nil && now.Sub(o.since) < Retention && len(o.recent) < maxRecent {
		return
	}
	o.recent, o.older, o.since = map[string]began.Began{}, o.recent, now
}

// Find returns where the stream began whose first event answered an attempt.
func (o *Origin) Find(attempt string) (b began.Began, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if b, ok = o.recent[attempt]; ok {
		return b, true
	}
	b, ok = o.older[attempt]
	return b, ok
}

// Group returns the remembered streams of a group.
func (o *Origin) Group(group string) []began.Began {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []began.Began
	for _, records := range []map[string]began.Began{o.recent, o.older} {
		for _, b := range records {
			if b.Group == group {
				list = append(list, b)
			}
		}
	}
	return list
}
