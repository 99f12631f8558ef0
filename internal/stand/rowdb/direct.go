package rowdb

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

// Table reaches the service in process, without a client name.
func (d *DB) Table() table.Table {
	return d.TableFor("")
}

// TableFor reaches the service in process as a client that CutClient can cut off.
func (d *DB) TableFor(client string) table.Table {
	list := func(ctx context.Context, work func() (listing, error)) ([]rows.Row, int64, error) {
		l, err := call(ctx, d, client, d.reads, work)
		return l.rows, l.rev, err
	}
	return table.Table{
		Read: func(ctx context.Context, key string) (rows.Row, error) {
			return call(ctx, d, client, d.reads, func() (rows.Row, error) { return d.read(key) })
		},
		List: func(ctx context.Context, prefix string) ([]rows.Row, int64, error) {
			return list(ctx, func() (listing, error) { return d.list(prefix) })
		},
		Write: func(ctx context.Context, edits ...rows.Row) (int64, error) {
			return call(ctx, d, client, d.writes, func() (int64, error) { return d.write(edits) })
		},
		Tail: func(ctx context.Context, prefix string, after int64) ([]rows.Row, int64, error) {
			return list(ctx, func() (listing, error) { return d.tail(prefix, after) })
		},
	}
}

func (d *DB) write(edits []rows.Row) (int64, error) {
	rev, err := d.commit(edits)
	if err == nil && d.loses() {
		return 0, merry.Append(table.ErrLost, "writing")
	}
	return rev, err
}

type outcome[T any] struct {
	value T
	err   error
}

// call takes one call of a client through the faults of the service.
// The work goes on when ctx ends, as it would in a service of its own.
func call[T any](ctx context.Context, d *DB, client string, line *rate.Limiter, work func() (T, error)) (T, error) {
	var none T
	if err := ctx.Err(); err != nil {
		return none, merry.Wrap(table.ErrDown, merry.WithCause(err))
	}
	if d.refuses(client) {
		return none, merry.Append(table.ErrDown, "calling")
	}
	done := make(chan outcome[T], 1)
	schedule(d, line, work, func(value T, err error) { done <- outcome[T]{value, err} })
	select {
	case <-ctx.Done():
		return none, merry.Wrap(table.ErrLost, merry.WithCause(ctx.Err()))
	case o := <-done:
		if d.refuses(client) {
			return none, merry.Append(table.ErrLost, "waiting for the answer")
		}
		return o.value, o.err
	}
}

// schedule has the work done when its turn comes and then answers.
// It sets timers and starts no goroutine, so that a bubble can end with calls still in line.
func schedule[T any](d *DB, line *rate.Limiter, work func() (T, error), answer func(T, error)) {
	slow := d.slowness()
	after(line.Reserve().Delay()+slow/2, func() {
		if d.isDown() {
			var none T
			answer(none, merry.Append(table.ErrLost, "in line when the service went down"))
			return
		}
		value, err := work()
		after(slow/2, func() { answer(value, err) })
	})
}

func after(wait time.Duration, work func()) {
	if wait <= 0 {
		work()
		return
	}
	time.AfterFunc(wait, work)
}
