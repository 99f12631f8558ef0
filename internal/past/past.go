// Package past keeps the last large rows that a host has had in force. A new version of one is mostly the one before with little changed: to a host
// that has the same old one, the difference alone need be sent.
package past

import (
	"sync"

	"damaskreach/internal/rows"
)

const (
	// least is the size in bytes from which a row is worth keeping.
	least = 4 << 10
	// most bounds the bytes of what is kept beside the newest row.
	most = 8 << 20
	// count bounds how many rows are kept: changes seldom come faster than hosts learn of them.
	count = 4
)

// Past may be used from several goroutines. The zero value has none.
type Past struct {
	mu   sync.Mutex
	list []rows.Row // newest first
}

// Add takes a row that has come into force.
func (p *Past) Add(row rows.Row) {
	if len(row.Value) < least {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next, size := []rows.Row{row}, 0
	for _, old := range p.list {
		size += len(old.Value)
		if old.Rev != row.Rev && len(next) < count && size <= most {
			next = append(next, old)
		}
	}
	p.list = next
}

// Revs returns the revisions of what is kept, newest first.
func (p *Past) Revs() []int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]int64, 0, len(p.list))
	for _, row := range p.list {
		list = append(list, row.Rev)
	}
	return list
}

// Find returns the value of the first of some revisions that is kept; rev is 0 where none is.
func (p *Past) Find(revs ...int64) (value []byte, rev int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, rev := range revs {
		for _, row := range p.list {
			if row.Rev == rev {
				return row.Value, rev
			}
		}
	}
	return nil, 0
}
