// Package rising holds a number that only increases, such as the latest known revision.
package rising

import "sync/atomic"

// Rising is safe for concurrent use. The zero value is 0.
type Rising struct {
	number atomic.Int64
}

// Load returns the number.
func (r *Rising) Load() int64 {
	return r.number.Load()
}

// Raise sets the number to the given one if that is higher, and returns the previous number.
func (r *Rising) Raise(to int64) (before int64) {
	for {
		before = r.number.Load()
		if before >= to || r.number.CompareAndSwap(before, to) {
			return before
		}
	}
}
