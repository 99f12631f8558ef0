// Package block holds how long something is blocked.
package block

import "time"

// Block is immutable.
type Block struct {
	Until time.Time
	Times int // how often it has been blocked in succession; blocks grow with it
}

// WithLater returns the longer of two blocks of the same thing, known to different hosts.
func (b Block) WithLater(other Block) Block {
	if other.Until.After(b.Until) {
		b.Until = other.Until
	}
	b.Times = max(b.Times, other.Times)
	return b
}
