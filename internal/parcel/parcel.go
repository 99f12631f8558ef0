// Package parcel encodes rows for transfer between hosts: compressed, and as a delta if both hosts have an older version of a
// large row.
package parcel

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/rows"
)

const (
	// minWindow and maxWindow limit the compression window, in bytes. It must span a row and its previous version, but memory is
	// allocated for all of it.
	minWindow, maxWindow = 1 << 20, 32 << 20
	// maxDecodedSize limits the decoded size of a parcel, in bytes: the host that sends it may be faulty.
	maxDecodedSize = 128 << 20
	// dictID is the ID of the zstd dictionary, the older version, in deltas.
	dictID = 1
)

// ErrDamaged means that a parcel does not decode to what was encoded.
var ErrDamaged = merry.Sentinel("parcel: damaged")

// Parcel holds encoded rows. It is immutable.
type Parcel struct {
	Rev  int64  // revision up to which the rows are known
	Base int64  // revision of the row whose value is needed to decode; 0 if none
	Sum  string // digest of the rows and the base revision
	Data []byte
}

// NewParcel encodes rows that are known up to a revision, as a delta to the value of the base unless base is 0.
func NewParcel(list []rows.Row, rev, base int64, value []byte) (Parcel, error) {
	plain, err := msgpack.Marshal(list)
	if err != nil {
		return Parcel{}, merry.Prepend(err, "encoding rows")
	}
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window(len(plain) + len(value))), zstd.WithLowerEncoderMem(true)}
	if base != 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictID, value))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return Parcel{}, merry.Prepend(err, "compressing rows")
	}
	defer encoder.Close()
	return Parcel{Rev: rev, Base: base, Sum: sum(plain, base), Data: encoder.EncodeAll(plain, nil)}, nil
}

// Rows decodes the rows, given the value of the base if there is one. Its errors are ErrDamaged.
func (p Parcel) Rows(value []byte) ([]rows.Row, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedSize), zstd.WithDecoderMaxWindow(maxWindow)}
	if p.Base != 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictID, value))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, merry.Prependf(ErrDamaged, "%v", err)
	}
	defer decoder.Close()
	plain, err := decoder.DecodeAll(p.Data, nil)
	if err != nil {
		return nil, merry.Prependf(ErrDamaged, "%v", err)
	}
	if got := sum(plain, p.Base); got != p.Sum {
		return nil, merry.Prependf(ErrDamaged, "digest %s, want %s", got, p.Sum)
	}
	var list []rows.Row
	if err := msgpack.Unmarshal(plain, &list); err != nil {
		return nil, merry.Prependf(ErrDamaged, "%v", err)
	}
	return list, nil
}

// window returns the compression window for a size in bytes, a power of two.
func window(size int) int {
	w := minWindow
	for w < size && w < maxWindow {
		w *= 2
	}
	return w
}

// sum returns a digest that is the same on all hosts that encode the same rows against the same base.
func sum(plain []byte, base int64) string {
	digest := sha256.New()
	digest.Write(strconv.AppendInt(nil, base, 10))
	digest.Write(plain)
	return hex.EncodeToString(digest.Sum(nil))
}
