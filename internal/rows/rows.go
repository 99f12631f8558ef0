// Package rows holds the record type of the platform's table service.
package rows

import "math"

// AnyRev is the revision of an edit that is written whatever the row's revision is. It is for hints, where a lost edit does no harm; with a
// revision, one row changed by another host would fail the whole transaction.
const AnyRev = math.MinInt64

// Row is one record of the table service. In an edit, Rev is the revision that the editor last saw; 0 expects that the key does not exist.
type Row struct {
	Key       string `json:"key" msgpack:"key"`
	Value     []byte `json:"value,omitempty" msgpack:"value,omitempty"`
	Rev       int64  `json:"rev" msgpack:"rev"`
	Gone      bool   `json:"gone,omitempty" msgpack:"gone,omitempty"` // deleted at Rev, or to be deleted
	CheckOnly bool   `json:"-" msgpack:"-"`                           // in an edit: the row must be at Rev, and is not written
}

// WithValue returns a copy of the row with another value.
func (r Row) WithValue(value []byte) Row {
	r.Value = value
	return r
}

// WithGone returns an edit that deletes the row.
func (r Row) WithGone() Row {
	r.Value = nil
	r.Gone = true
	return r
}
