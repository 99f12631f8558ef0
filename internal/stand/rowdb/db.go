// Package rowdb is a stand-in for the platform's table service, with the faults the real one has.
package rowdb

import (
	"sync"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/stand/gate"
	"damaskreach/internal/table"
)

const defaultHistory = 10000 // deletions remembered

// DB is a transactional table of rows with one revision counter.
// Its methods may be called from several goroutines. It does nothing of its own accord:
// the same calls in the same order always have the same outcome.
type DB struct {
	*gate.Gate // faults of the service as a whole

	mu      sync.Mutex
	era     int64                         // counts how often the table came back from a copy
	rev     int64                         // number of the newest transaction; beyond this package, a revision carries the era too
	keys    map[string]map[string]*record // by first path segment of the key, then by key
	log     []change                      // one per written key, oldest first
	graves  []change                      // deletions remembered, oldest first
	lost    int64                         // newest revision whose deletion has been forgotten
	most    int                           // deletions to remember
	times   []commit                      // recent commits, oldest first
	replica replica
	counts  map[string]*count
}

// record is one key with its present state and the states lagging replicas may still show.
type record struct {
	states []state // oldest first
}

type state struct {
	row rows.Row
	at  time.Time
}

type change struct {
	key string
	rev int64
}

type commit struct {
	rev int64
	at  time.Time
}

// NewDB returns an empty table without faults or rate limits.
func NewDB() *DB {
	return &DB{
		keys:   map[string]map[string]*record{},
		most:   defaultHistory,
		Gate:   gate.NewGate(table.ErrDown, table.ErrLost),
		counts: map[string]*count{},
	}
}

// SetHistory sets how many deletions are remembered for tails; older ones are forgotten.
func (d *DB) SetHistory(deletions int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most = deletions
	d.forget()
}

// Rev returns the revision of the newest commit.
func (d *DB) Rev() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return rows.NewRev(d.era, d.rev)
}

func (d *DB) record(key string) *record {
	return d.keys[segment(key)][key]
}

// now returns the present row, which may be a deletion.
func (r *record) now() rows.Row {
	return r.states[len(r.states)-1].row
}

// as returns the row as it was at a revision; ok is false where it did not exist yet.
func (r *record) as(rev int64) (row rows.Row, ok bool) {
	for i := len(r.states) - 1; i >= 0; i-- {
		if r.states[i].row.Rev <= rev {
			return r.states[i].row, true
		}
	}
	return rows.Row{}, false
}
