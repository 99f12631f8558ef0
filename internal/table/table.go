// Package table accesses the platform's table service, which stores the state that must outlast a host.
package table

import (
	"context"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/rows"
)

// Key prefixes of the rows that nodes keep in the table service.
const (
	PrefixConf    = "conf/"    // operators' configuration, which every node follows
	PrefixNode    = "node/"    // session rows of nodes
	PrefixOwn     = "own/"     // ownership rows of runners
	PrefixClaim   = "claim/"   // idempotency keys
	PrefixSuspect = "suspect/" // requests that crashed upstreams
	PrefixWhy     = "why/"     // decisions that outlast their node
)

var (
	// ErrConflict means that a row was not at the expected revision and that nothing was written.
	ErrConflict = merry.New("table: revision conflict")
	// ErrDown means that the service did not accept the call: nothing was written.
	ErrDown = merry.New("table: service unavailable")
	// ErrLost means that no answer was received: the write may have taken effect.
	ErrLost = merry.New("table: answer lost")
	// ErrAbsent means that no row has the key.
	ErrAbsent = merry.New("table: no such row")
	// ErrInvalid means that the service rejects the call itself: nothing was written and a retry is useless.
	ErrInvalid = merry.New("table: invalid call")
	// ErrCompacted comes with the rows of a Tail that starts before the service's history, or exceeds one response. The rows are valid
	// and complete, but deletions may be missing: a follower drops each row that is not among them. If there are no rows, the follower
	// lists them.
	ErrCompacted = merry.New("table: history compacted")
)

// Table is the table service; each field is one of its operations.
type Table struct {
	// Read returns the row of a key or ErrAbsent.
	Read func(ctx context.Context, key string) (rows.Row, error)
	// List returns the rows whose keys start with prefix, sorted by key, and the revision at which they were read.
	List func(ctx context.Context, prefix string) ([]rows.Row, int64, error)
	// First returns the first limit rows whose keys start with prefix, and whether there are more.
	First func(ctx context.Context, prefix string, limit int) (list []rows.Row, rev int64, more bool, err error)
	// Write applies all edits in one transaction, or none, and returns its revision. On ErrConflict, Conflicts returns the keys
	// concerned.
	Write func(ctx context.Context, edits ...rows.Row) (int64, error)
	// Tail returns the rows under prefix that changed after a revision, oldest first, deletions included, and the newest revision.
	// Of a row that changed several times it returns the latest state only. Rows and revision are also valid with ErrCompacted,
	// but with no other error.
	Tail func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error)
}

type conflictKey struct{}

// NewConflict returns an ErrConflict that names the conflicting keys.
func NewConflict(keys []string) error {
	return merry.Wrap(ErrConflict, merry.WithValue(conflictKey{}, keys), merry.AppendMessagef("%q", keys))
}

// Conflicts returns the keys that an ErrConflict names.
func Conflicts(err error) []string {
	keys, _ := merry.Value(err, conflictKey{}).([]string)
	return keys
}
