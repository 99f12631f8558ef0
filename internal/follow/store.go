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
	snapshotName     = "configuration"
	snapshotInterval = time.Minute // minimum between snapshots of one node
)

// loadSnapshot applies the snapshot in the object store, so that a starting node need not list the table. An old snapshot only
// makes the following tail longer.
func (f *Follow) loadSnapshot(ctx context.Context) {
	if f.Objects.Get == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	data, err := f.Objects.Get(ctx, snapshotName)
	if err == nil {
		err = f.applySnapshot(data)
	}
	if err != nil && !errors.Is(err, object.ErrAbsent) {
		f.Log.Warn("reading the snapshot failed; the whole table is read", zap.Error(err))
	}
}

// keepSnapshots writes a snapshot at intervals while this node is chosen to and there are changes.
func (f *Follow) keepSnapshots(ctx context.Context) {
	if f.Objects.Put == nil {
		return
	}
	var written int64
	for range ticker.Every(ctx, snapshotInterval) {
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
