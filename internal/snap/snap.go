// Package snap encodes the configuration for the object store and for peers, so that a starting node need not list the table.
package snap

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"io"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/rows"
)

const (
	// magic opens every snapshot; its last byte is the version of the format.
	magic = "dreach\x00\x01"
	// maxSize is the largest snapshot read, in bytes before compression.
	maxSize = 256 << 20
	// maxRows is the largest number of rows read.
	maxRows = 4 << 20
	// maxWindow bounds the memory that a compressed frame may demand, in bytes.
	maxWindow = 8 << 20
)

// ErrFormat means that the data is no snapshot, of an unknown version, damaged or too large.
var ErrFormat = merry.New("snapshot: unreadable")

// Encode returns the snapshot of rows as of a revision: every change up to rev is in it.
func Encode(all []rows.Row, rev int64) ([]byte, error) {
	sorted := slices.SortedFunc(slices.Values(all), order)
	var body bytes.Buffer
	squeezed, err := zstd.NewWriter(&body, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(1<<20))
	if err != nil {
		return nil, merry.Prepend(err, "encoding a snapshot")
	}
	if err := write(msgpack.NewEncoder(squeezed), sorted, rev); err != nil {
		return nil, merry.Prepend(err, "encoding a snapshot")
	}
	if err := squeezed.Close(); err != nil {
		return nil, merry.Prepend(err, "encoding a snapshot")
	}
	sum := sha256.Sum256(body.Bytes())
	return slices.Concat([]byte(magic), sum[:], body.Bytes()), nil
}

func write(enc *msgpack.Encoder, sorted []rows.Row, rev int64) error {
	if err := enc.EncodeInt(rev); err != nil {
		return err
	}
	if err := enc.EncodeArrayLen(len(sorted)); err != nil {
		return err
	}
	for i := range sorted {
		if err := enc.Encode(&sorted[i]); err != nil {
			return err
		}
	}
	return nil
}

// Decode returns the rows of a snapshot, sorted by key and revision, and its revision, or ErrFormat.
// Damage that went unnoticed would put rows in force that no operator wrote;
// the checksum in front, the count and the order of the rows each show it.
func Decode(data []byte) ([]rows.Row, int64, error) {
	sealed, ok := bytes.CutPrefix(data, []byte(magic))
	if !ok || len(sealed) < sha256.Size {
		return nil, 0, merry.Wrap(ErrFormat, merry.AppendMessage("not a snapshot of this version"))
	}
	body := sealed[sha256.Size:]
	if sum := sha256.Sum256(body); !bytes.Equal(sum[:], sealed[:sha256.Size]) {
		return nil, 0, merry.Wrap(ErrFormat, merry.AppendMessage("the checksum does not match"))
	}
	plain, err := zstd.NewReader(bytes.NewReader(body), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxWindow(maxWindow))
	if err != nil {
		return nil, 0, merry.Wrap(ErrFormat, merry.WithCause(err))
	}
	defer plain.Close()
	limited := &io.LimitedReader{R: plain, N: maxSize}
	all, rev, err := read(msgpack.NewDecoder(limited))
	if err != nil {
		return nil, 0, merry.Wrap(ErrFormat, merry.WithCause(err), merry.AppendMessage(err.Error()))
	}
	return all, rev, nil
}

func read(dec *msgpack.Decoder) ([]rows.Row, int64, error) {
	rev, err := dec.DecodeInt64()
	if err != nil {
		return nil, 0, err
	}
	count, err := dec.DecodeArrayLen()
	if err != nil {
		return nil, 0, err
	}
	if count < 0 || count > maxRows {
		return nil, 0, merry.Errorf("%d rows", count)
	}
	var all []rows.Row
	for i := range count {
		var row rows.Row
		if err := dec.Decode(&row); err != nil {
			return nil, 0, err
		}
		if i > 0 && order(all[i-1], row) >= 0 {
			return nil, 0, merry.Errorf("row %q is out of order", row.Key)
		}
		all = append(all, row)
	}
	if _, err := dec.PeekCode(); err != io.EOF {
		return nil, 0, merry.Errorf("data after the last row: %v", err)
	}
	return all, rev, nil
}

func order(a, b rows.Row) int {
	return cmp.Or(strings.Compare(a.Key, b.Key), cmp.Compare(a.Rev, b.Rev))
}
