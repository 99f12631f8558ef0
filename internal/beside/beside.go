// Package beside holds what a host knows of the others that load base models, and when it follows from that to begin one itself.
package beside

import "time"

// longestFirst bounds how long one lets others go first: some of them may not be able to begin.
const longestFirst = 2 * time.Second

// Beside is immutable.
type Beside struct {
	Loading int           // base models on their way to engines of other hosts
	Before  int           // hosts that wait to begin a load and come before this one
	Step    time.Duration // after which a load that another host began is known here
}

// First returns for how long a host lets others go first where there is room for so many loads: not at all where those before it leave room, else
// until their loads would be known.
func (b Beside) First(room int) time.Duration {
	return min(longestFirst, time.Duration(max(0, b.Before+1-room))*b.Step)
}
