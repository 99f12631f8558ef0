// Package origin remembers where streams began.
//
// Builds of the engines' software do not understand each other's streams, and engines do not check who began one. Resumed at another
// build, a stream is garbled without any error.
package origin

import (
	"sync"
	"time"

	"damaskreach/internal/began"
	"damaskreach/internal/recent"
)

const (
	// Retention is the shortest time for which a stream is remembered: longer than callers wait for one.
	Retention = time.Minute
	// maxRecent bounds the records of one retention, some 150 bytes each.
	maxRecent = 20000
)

// Origin may be used from several goroutines.
type Origin struct {
	mu      sync.Mutex
	streams *recent.Recent[string, began.Began] // by attempt
}

// NewOrigin returns an Origin that remembers no stream.
func NewOrigin() *Origin {
	return &Origin{streams: recent.NewRecent[string, began.Began](Retention, maxRecent)}
}

// Add remembers where a stream began.
func (o *Origin) Add(b began.Began, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.streams.Set(b.Attempt, b, now)
}

// Find returns where the stream began whose first event answered an attempt.
func (o *Origin) Find(attempt string) (b began.Began, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.streams.Get(attempt)
}

// Group returns the remembered streams of a group.
func (o *Origin) Group(group string) []began.Began {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []began.Began
	for b := range o.streams.Values() {
		if b.Group == group {
			list = append(list, b)
		}
	}
	return list
}
