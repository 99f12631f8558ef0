// Package window holds how many base models may be on their way from the weight store at once, as the hosts of a site have learned together.
// The store serves some at full speed, and each takes longer in proportion beside more. How many those are is not told.
package window

import "time"

const (
	// most bounds the loads that are on their way at once.
	most = 64
	// slow is how many times its stated time a load takes when too many are on their way.
	slow = 1.4
	// first may be on their way before any load has ended.
	first = 4
	// growth is how many times as many may be tried as were as fast, before any were slow.
	growth = 2
	// part is what a fast load adds once loads were slow: every eighth tries one more, which holds one other up.
	part = 0.125
)

// Window is immutable. Its zero value is that of a host that has learned nothing.
type Window struct {
	Size   float64 `msgpack:"s,omitempty"`
	Cut    bool    `msgpack:"c,omitempty"` // too many were on their way before
	Lesson int64   `msgpack:"l,omitempty"` // loads that it was learned from, one after the other over all hosts
}

// Loads returns how many may be on their way at once.
func (w Window) Loads() int {
	if w.Lesson == 0 {
		return first
	}
	return max(1, min(most, int(w.Size)))
}

// WithLoad returns what a load teaches that took so long instead of the time stated, with so many on their way at once, itself among them.
func (w Window) WithLoad(took, stated time.Duration, atOnce int) Window {
	ratio := float64(took) / float64(stated)
	now := w
	now.Lesson++
	switch {
	case ratio > slow && atOnce > 1:
		now.Size, now.Cut = min(float64(w.Loads()), fits(ratio, atOnce)), true
	case ratio > slow || atOnce < w.Loads():
		return w
	case w.Cut:
		now.Size = min(most, max(1, w.Size)+part)
	default:
		now.Size = min(most, float64(growth*atOnce))
	}
	return now
}

// fits returns how many are served at full speed, as one says that took so many times its stated time: half as many as there were at least, since
// a load may be slow for reasons of its own.
func fits(ratio float64, atOnce int) float64 {
	return max(1, float64(int(max(float64(atOnce)/ratio, float64(atOnce)/2))))
}

// Newer returns the one of two that more loads were learned from. Clocks of hosts are not compared. Of two hosts that learned at the same
// time, the one that had slow loads is right.
func (w Window) Newer(other Window) Window {
	switch {
	case w.Lesson != other.Lesson:
		if w.Lesson > other.Lesson {
			return w
		}
		return other
	case w.Cut != other.Cut:
		if w.Cut {
			return w
		}
		return other
	case w.Size < other.Size == w.Cut:
		return w
	}
	return other
}
