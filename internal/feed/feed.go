// Package feed holds changes of the store's rows that one host passes on to another.
package feed

import "damaskreach/internal/rows"

// Whole stands in place of the revision after which changes are known, where all rows were read: deletions may have been missed.
const Whole = -1

// Feed is immutable: the rows under a prefix that changed after a revision, up to another.
type Feed struct {
	Prefix string     `msgpack:"p"`
	After  int64      `msgpack:"a"`
	Rev    int64      `msgpack:"r"`
	Rows   []rows.Row `msgpack:"l"`
}
