// Package fetch gets rows from other hosts that are too large for one message, piece by piece.
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
	// pieceFor bounds one question: a piece may wait behind others on a narrow link.
	pieceFor = 600 * time.Millisecond
	// queueFor is how long a host waits for others to be given to before it asks another host.
	queueFor = 3 * time.Second
	// mostSize bounds a parcel, in bytes: what came may be from a broken host.
	mostSize = 64 << 20
)

// ErrNone means that no host had the rows.
var ErrNone = merry.Sentinel("fetch: no host has the rows")

// Fetch may be used from several goroutines. Its fields are set before the first use.
type Fetch struct {
	Ask  func(ctx context.Context, to mate.Mate, q piece.Piece) (chunk.Chunk, error)
	Past *past.Past
	Log  *zap.Logger
}

// begun is a parcel of which a part has come. It goes on at another host that has the same one.
type begun struct {
	chunk.Chunk // as the newest answer has it
	data        []byte
}

// Rows asks hosts, one after the other, for rows under a prefix that changed after a revision, or all for feed.Whole. It returns them and up to which
// revision they are known.
func (f *Fetch) Rows(ctx context.Context, hosts []mate.Mate, prefix string, after int64) (list []rows.Row, rev int64, err error) {
	err = ErrNone
	q := piece.Piece{Prefix: prefix, After: after, Bases: f.Past.Revs()}
	var b begun
	for _, from := range hosts {
		if err = f.from(ctx, from, q, &b); err == nil {
			list, err = f.open(b)
		}
		if err == nil {
			return list, b.Rev, nil
		}
		if errors.Is(err, ErrNone) {
			continue
		}
		f.Log.Info("rows not got from another host", zap.String("host", from.IP), zap.String("rows", prefix), zap.Int64("after", after),
			zap.Int("bytes", len(b.data)), zap.Int("size", b.Size), zap.Error(err))
		if errors.Is(err, parcel.ErrDamaged) {
			b, q.Bases = begun{}, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, 0, err
}

// from asks one host for what is missing.
func (f *Fetch) from(ctx context.Context, host mate.Mate, q piece.Piece, b *begun) error {
	waits := time.Now()
	for b.Size == 0 || len(b.data) < b.Size {
		q.Sum, q.Offset = b.Sum, len(b.data)
		c, err := f.ask(ctx, host, q)
		switch {
		case err != nil:
			return err
		case c.WaitMS > 0 && time.Since(waits) > queueFor:
			return merry.Errorf("waited for %v", time.Since(waits))
		case c.WaitMS > 0:
			ticker.Sleep(ctx, time.Duration(c.WaitMS)*time.Millisecond)
			continue
		case c.Size == 0:
			return ErrNone
		}
		waits = time.Now()
		if err := b.add(c); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fetch) ask(ctx context.Context, host mate.Mate, q piece.Piece) (chunk.Chunk, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceFor)
	defer cancel()
	return f.Ask(ctx, host, q)
}

// add takes the next piece, or the first one of another parcel.
func (b *begun) add(c chunk.Chunk) error {
	if c.Sum != b.Sum {
		b.data = nil
	}
	if c.Size > mostSize || c.Offset != len(b.data) || len(c.Data) == 0 || c.Offset+len(c.Data) > c.Size {
		*b = begun{}
		return merry.Errorf("%d bytes at %d of %d do not go on", len(c.Data), c.Offset, c.Size)
	}
	b.Chunk = c
	b.data = append(b.data, c.Data...)
	return nil
}

// open decodes a parcel that has come whole.
func (f *Fetch) open(b begun) ([]rows.Row, error) {
	var value []byte
	if b.Base != 0 {
		found, rev := f.Past.Find(b.Base)
		if rev == 0 {
			return nil, merry.Prependf(parcel.ErrDamaged, "made against revision %d, which this host has not", b.Base)
		}
		value = found
	}
	return parcel.Parcel{Rev: b.Rev, Base: b.Base, Sum: b.Sum, Data: b.data}.Rows(value)
}
