// Package recent provides a map that forgets entries some time after they were set.
package recent

import (
	"iter"
	"time"
)

// Recent keeps each entry for one to two retentions after it was last set, or less if there are too many. It may be used from one goroutine
// at a time.
type Recent[K comparable, V any] struct {
	retention    time.Duration
	limit        int
	young, older map[K]V
	since        time.Time // of young
}

// NewRecent returns an empty map that keeps no more than limit entries of each retention.
func NewRecent[K comparable, V any](retention time.Duration, limit int) *Recent[K, V] {
	return &Recent[K, V]{retention: retention, limit: limit}
}

// Set sets an entry.
func (r *Recent[K, V]) Set(key K, value V, now time.Time) {
	if r.young == nil || now.Sub(r.since) >= r.retention || len(r.young) >= r.limit {
		r.young, r.older, r.since = map[K]V{}, r.young, now
	}
	r.young[key] = value
}

// Get returns an entry as it was last set.
func (r *Recent[K, V]) Get(key K) (value V, ok bool) {
	if value, ok = r.young[key]; ok {
		return value, true
	}
	value, ok = r.older[key]
	return value, ok
}

// Values returns the values of all keys. Of a key that was set twice, the older value may be among them too.
func (r *Recent[K, V]) Values() iter.Seq[V] {
	return func(yield func(V) bool) {
		for _, entries := range []map[K]V{r.young, r.older} {
			for _, value := range entries {
				if !yield(value) {
					return
				}
			}
		}
	}
}
