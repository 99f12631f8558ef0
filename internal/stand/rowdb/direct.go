package rowdb

import (
	"context"

	"damaskreach/internal/rows"
	"damaskreach/internal/stand/gate"
	"damaskreach/internal/table"
)

// Table reaches the service in process, without a client name.
func (d *DB) Table() table.Table {
	return d.TableFor("")
}

// TableFor reaches the service in process as a client that CutClient can cut off.
func (d *DB) TableFor(client string) table.Table {
	list := func(ctx context.Context, work func() (listing, error)) ([]rows.Row, int64, error) {
		l, err := gate.Read(ctx, d.Gate, client, work)
		return l.rows, l.rev, err
	}
	return table.Table{
		Read: func(ctx context.Context, key string) (rows.Row, error) {
			return gate.Read(ctx, d.Gate, client, func() (rows.Row, error) { return d.read(key) })
		},
		List: func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
			return list(ctx, func() (listing, error) { return d.list(prefix) })
		},
		First: func(ctx context.Context, prefix string, limit int) ([]rows.Row, int64, bool, error) {
			all, rev, err := list(ctx, func() (listing, error) { return d.list(prefix) })
			return all[:min(limit, len(all))], rev, len(all) > limit, err
		},
		Write: func(ctx context.Context, edits ...rows.Row) (int64, error) {
			return gate.Write(ctx, d.Gate, client, func() (int64, error) { return d.commit(edits) })
		},
		Tail: func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
			return list(ctx, func() (listing, error) { return d.tail(prefix, after) })
		},
	}
}
