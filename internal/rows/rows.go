// Package rows holds the record that the platform's table service stores.
package rows

import "math"

// Any is the revision of an edit that is written whatever the row's own is. It is for hints, where a lost edit does no harm; with a
// revision, one row that another host has written would fail the whole transaction.
const Any = math.MinInt64

// Row is one record of the table service.
// In an edit, Rev is the revision the editor last saw: 0 demands that the key does not exist.
type Row struct {
	Key   string `json:"key" msgpack:"key"`
	Value []byte `json:"value,omitempty" msgpack:"value,omitempty"`
	Rev   int64  `json:"rev" msgpack:"rev"`
	Gone  bool   `json:"gone,omitempty" msgpack:"gone,omitempty"` // deleted at Rev, or to be deleted
	Same  bool   `json:"-" msgpack:"-"`                           // in an edit: the row must be at Rev, and is not written
}

// WithValue returns a copy that carries value.
func (r Row) WithValue(value []byte) Row {
	r.Value = value
	return r
}

// WithGone returns a copy that deletes the row.
func (r Row) WithGone() Row {
	r.Value = nil
	r.Gone = true
	return r
}
