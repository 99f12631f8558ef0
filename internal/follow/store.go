package follow

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/object"
	"damaskreach/internal/snap"
	"damaskreach/internal/ticker"
)

const (
	snapshotName = "configuration"
	snapshotRate = time.Minute // least interval of snapshots written by one node
)

// loadSnapshot begins with the snapshot in the object store, so that a starting node need not list the table.
// An old one costs a longer tail and nothing else.
func (f *Follow) loadSnapshot(ctx context.Context) {
	if f.Objects.Get == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	data, err := f.Objects.Get(ctx, snapshotName)
	if err == nil {
		err = f.takeSnapshot(data)
	}
	if err != nil && !errors.Is(err, object.ErrAbsent) {
		f.Log.Warn("reading the snapshot failed; the whole table is read", zap.Error(err))
	}
}

// keepSnapshots writes a snapshot now and then while this node is the one to do it and there is something new.
func (f *Follow) keepSnapshots(ctx context.Context) {
	if f.Objects.Put == nil {
		return
	}
	var written int64
	for range ticker.Every(ctx, snapshotRate) {
		if c := f.Catalog(); c.Complete() > written && f.Chosen(snapshotName) {
			written = f.writeSnapshot(ctx, written)
		}
	}
}

func (f *Follow) writeSnapshot(ctx context.Context, written int64) int64 {
	c := f.Catalog()
	data, err := snap.Encode(c.Rows(), c.Complete())
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, tableTimeout)
		defer cancel()
		err = f.Objects.Put(ctx, snapshotName, data)
	}
	if err != nil {
		f.Log.Warn("writing the snapshot failed", zap.Error(err))
		return written
	}
	return c.Complete()
}
