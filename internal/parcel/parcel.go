// Package parcel encodes rows for the way from one host to another: compressed, and where both have an older version of a large row, as little more
// than the difference.
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
	// leastWindow and mostWindow bound how far back repetitions are looked for, in bytes: as far as a row and the version before it are long, since memory
	// is taken for all of it.
	leastWindow, mostWindow = 1 << 20, 32 << 20
	// mostDecoded bounds what a parcel decodes to: what came may be from a broken host.
	mostDecoded = 128 << 20
	// dictID marks what was encoded against an older version.
	dictID = 1
)

// ErrDamaged means that a parcel does not decode to what was encoded.
var ErrDamaged = merry.Sentinel("parcel: damaged")

// Parcel is immutable.
type Parcel struct {
	Rev  int64  // up to which the rows are known
	Base int64  // revision of the row whose value is needed to decode it; 0 where none is
	Sum  string // digest of the rows and of what is needed for them
	Data []byte
}

// NewParcel encodes rows that are known up to a revision, against the value of a base where that is not 0.
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

// Rows decodes the rows, with the value of the base where there is one. Its errors are ErrDamaged.
func (p Parcel) Rows(value []byte) ([]rows.Row, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(mostDecoded), zstd.WithDecoderMaxWindow(mostWindow)}
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

// window returns the window for so many bytes, a power of two.
func window(size int) int {
	w := leastWindow
	for w < size && w < mostWindow {
		w *= 2
	}
	return w
}

// sum tells parcels apart whose bytes differ: two hosts that encode the same rows against the same base get the same.
func sum(plain []byte, base int64) string {
	digest := sha256.New()
	digest.Write(strconv.AppendInt(nil, base, 10))
	digest.Write(plain)
	return hex.EncodeToString(digest.Sum(nil))
}
