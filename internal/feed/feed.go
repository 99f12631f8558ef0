// Package feed holds changes of the store's rows that one host passes on to another.
package feed

import "damaskreach/internal/rows"

// These stand in place of the revision after which changes are known.
const (
	// Whole is for all rows as they were read: deletions may have been missed, and what others know may be gone.
	Whole = -1
	// Start is for all rows of a kind that is never deleted: they are all that there is to know, whatever others know.
	Start = 0
)

// Feed is immutable: the rows under a prefix that changed after a revision, up to another.
type Feed struct {
	Prefix string     `msgpack:"p"`
	After  int64      `msgpack:"a"`
	Rev    int64      `msgpack:"r"`
	Rows   []rows.Row `msgpack:"l"`
}
