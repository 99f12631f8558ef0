// Package table is the only way to the platform's table service.
package table

import (
	"context"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/rows"
)

// Key prefixes of what the nodes keep in the table service.
const (
	PrefixConf    = "conf/"    // operators' configuration, followed by every node
	PrefixNode    = "node/"    // session rows of nodes
	PrefixOwn     = "own/"     // ownership rows of runners
	PrefixClaim   = "claim/"   // idempotency keys
	PrefixSuspect = "suspect/" // requests that crashed upstreams
	PrefixWhy     = "why/"     // decisions that outlast their node
)

var (
	// ErrConflict means that an expected revision did not hold and that nothing was written.
	ErrConflict = merry.New("table: revision conflict")
	// ErrDown means that the service did not take the call: nothing was written.
	ErrDown = merry.New("table: service unavailable")
	// ErrLost means that the answer was lost: the write may have taken effect.
	ErrLost = merry.New("table: answer lost")
	// ErrAbsent means that no row has the key.
	ErrAbsent = merry.New("table: no such row")
	// ErrInvalid means that the service rejects the call itself: nothing was written and a retry is of no use.
	ErrInvalid = merry.New("table: invalid call")
	// ErrCompacted comes with the rows of a Tail that reached back beyond the service's history, or beyond
	// what one answer holds. The rows are valid and complete, but deletions may be missing: a follower drops
	// each row it holds that is not among them. Without rows, the follower lists them.
	ErrCompacted = merry.New("table: history compacted")
)

// Table reaches the table service; each field is one of its operations.
type Table struct {
	// Read returns the row of a key or ErrAbsent.
	Read func(ctx context.Context, key string) (rows.Row, error)
	// List returns the rows whose keys start with prefix, sorted by key, and the revision of the reading.
	List func(ctx context.Context, prefix string) ([]rows.Row, int64, error)
	// First returns the first rows whose keys start with prefix, as many as limit, and whether there are more.
	First func(ctx context.Context, prefix string, limit int) (list []rows.Row, rev int64, more bool, err error)
	// Write applies all edits in one transaction or none and returns its revision.
	// Conflicts names the keys whose revision did not hold.
	Write func(ctx context.Context, edits ...rows.Row) (int64, error)
	// Tail returns rows under prefix changed after a revision, oldest first, deletions included, and the newest revision.
	// Of a row changed several times it returns the latest state only.
	// With ErrCompacted, alone of all errors, rows and revision are valid.
	Tail func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error)
}

type conflictKey struct{}

// NewConflict returns an ErrConflict that names the keys it is about.
func NewConflict(keys []string) error {
	return merry.Wrap(ErrConflict, merry.WithValue(conflictKey{}, keys), merry.AppendMessagef("%q", keys))
}

// Conflicts returns the keys a conflict names.
func Conflicts(err error) []string {
	keys, _ := merry.Value(err, conflictKey{}).([]string)
	return keys
}
