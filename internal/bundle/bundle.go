// Package bundle holds all rows under a prefix as one host passes them on to another that starts.
package bundle

import (
	"bytes"
	"compress/flate"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/rows"
)

// Bundle is immutable. Rows of one kind are much alike, and are sent compressed: hundreds of hosts may start at once.
type Bundle struct {
	Rev  int64  `msgpack:"r"` // up to which the rows are known; 0 where the host does not know them
	Data []byte `msgpack:"d,omitempty"`
}

// NewBundle returns the rows that are known at a revision.
func NewBundle(rev int64, list []rows.Row) (Bundle, error) {
	var data bytes.Buffer
	out, err := flate.NewWriter(&data, flate.BestSpeed)
	if err != nil {
		return Bundle{}, merry.Prepend(err, "compressing rows")
	}
	if err := msgpack.NewEncoder(out).Encode(list); err != nil {
		return Bundle{}, merry.Prepend(err, "encoding rows")
	}
	if err := out.Close(); err != nil {
		return Bundle{}, merry.Prepend(err, "compressing rows")
	}
	return Bundle{Rev: rev, Data: data.Bytes()}, nil
}

// Rows returns the rows.
func (b Bundle) Rows() ([]rows.Row, error) {
	var list []rows.Row
	if err := msgpack.NewDecoder(flate.NewReader(bytes.NewReader(b.Data))).Decode(&list); err != nil {
		return nil, merry.Prepend(err, "decoding passed-on rows")
	}
	return list, nil
}
