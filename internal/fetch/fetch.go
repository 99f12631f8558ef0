// Package fetch downloads rows that are too large for one message from other hosts, in chunks.
package fetch

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/chunk"
	"damaskreach/internal/mate"
	"damaskreach/internal/parcel"
	"damaskreach/internal/past"
	"damaskreach/internal/piece"
	"damaskreach/internal/rows"
	"damaskreach/internal/ticker"
)

const (
	// requestTimeout limits one request: a chunk may queue behind others on a slow link.
	requestTimeout = 600 * time.Millisecond
	// maxQueueWait is how long to wait while a host serves others before trying the next host.
	maxQueueWait = 3 * time.Second
	// maxSize limits a parcel, in bytes: the host that sends it may be faulty.
	maxSize = 64 << 20
)

// ErrNotFound means that no host had the rows.
var ErrNotFound = merry.Sentinel("fetch: no host has the rows")

// Fetch downloads rows. It is safe for concurrent use; its fields are set before the first use.
type Fetch struct {
	Ask  func(ctx context.Context, to mate.Mate, q piece.Piece) (chunk.Chunk, error)
	Past *past.Past
	Log  *zap.Logger
}

// download is a partly received parcel. It resumes at another host that has the same parcel.
type download struct {
	chunk.Chunk // from the latest answer
	data        []byte
}

// Rows tries hosts in turn for the rows under a prefix that changed after a revision, or all rows for feed.Whole. It returns
// the rows and the revision up to which they are known.
func (f *Fetch) Rows(ctx context.Context, hosts []mate.Mate, prefix string, after int64) (list []rows.Row, rev int64, err error) {
	err = ErrNotFound
	q := piece.Piece{Prefix: prefix, After: after, Bases: f.Past.Revs()}
	var b download
	for _, from := range hosts {
		if err = f.fetchFrom(ctx, from, q, &b); err == nil {
			list, err = f.decode(b)
		}
		if err == nil {
			return list, b.Rev, nil
		}
		if errors.Is(err, ErrNotFound) {
			continue
		}
		f.Log.Info("fetching rows from another host failed", zap.String("host", from.IP), zap.String("rows", prefix), zap.Int64("after", after),
			zap.Int("bytes", len(b.data)), zap.Int("size", b.Size), zap.Error(err))
		if errors.Is(err, parcel.ErrDamaged) {
			b, q.Bases = download{}, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, 0, err
}

// fetchFrom requests the missing chunks from one host.
func (f *Fetch) fetchFrom(ctx context.Context, host mate.Mate, q piece.Piece, b *download) error {
	waitStart := time.Now()
	for b.Size == 0 || len(b.data) < b.Size {
		q.Sum, q.Offset = b.Sum, len(b.data)
		c, err := f.ask(ctx, host, q)
		switch {
		case err != nil:
			return err
		case c.WaitMS > 0 && time.Since(waitStart) > maxQueueWait:
			return merry.Errorf("host still busy after %v", time.Since(waitStart))
		case c.WaitMS > 0:
			ticker.Sleep(ctx, time.Duration(c.WaitMS)*time.Millisecond)
			continue
		case c.Size == 0:
			return ErrNotFound
		}
		waitStart = time.Now()
		if err := b.add(c); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fetch) ask(ctx context.Context, host mate.Mate, q piece.Piece) (chunk.Chunk, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return f.Ask(ctx, host, q)
}

// add appends the next chunk, or starts over if it is the first of another parcel.
func (b *download) add(c chunk.Chunk) error {
	if c.Sum != b.Sum {
		b.data = nil
	}
	if c.Size > maxSize || c.Offset != len(b.data) || len(c.Data) == 0 || c.Offset+len(c.Data) > c.Size {
		*b = download{}
		return merry.Errorf("unexpected chunk of %d bytes at offset %d of %d", len(c.Data), c.Offset, c.Size)
	}
	b.Chunk = c
	b.data = append(b.data, c.Data...)
	return nil
}

// decode decodes a complete parcel.
func (f *Fetch) decode(b download) ([]rows.Row, error) {
	var value []byte
	if b.Base != 0 {
		found, rev := f.Past.Find(b.Base)
		if rev == 0 {
			return nil, merry.Prependf(parcel.ErrDamaged, "encoded against revision %d, which this host does not have", b.Base)
		}
		value = found
	}
	return parcel.Parcel{Rev: b.Rev, Base: b.Base, Sum: b.Sum, Data: b.data}.Rows(value)
}
