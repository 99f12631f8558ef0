// Package rising holds a number that only rises, such as the newest revision that was heard of.
package rising

import "sync/atomic"

// Rising may be used from several goroutines. The zero value is 0.
type Rising struct {
	number atomic.Int64
}

// Load returns the number.
func (r *Rising) Load() int64 {
	return r.number.Load()
}

// Raise makes the number at least as high as another one, and returns what it was before.
func (r *Rising) Raise(to int64) (before int64) {
	for {
		before = r.number.Load()
		if before >= to || r.number.CompareAndSwap(before, to) {
			return before
		}
	}
}
