// Package commit writes operators' edits to the table and finds out what became of each.
package commit

import (
	"context"
	"errors"
	"slices"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

// Size is the largest number of rows written in one transaction.
const Size = 500

const (
	firstPause = 100 * time.Millisecond
	maxPause   = 2 * time.Second
	callTime   = 10 * time.Second // for one call of the table
)

// Write writes edits in their order, in transactions of Size rows at the most, and returns one outcome for each.
// Each value must carry the stamp of the edit id, by which a write whose answer was lost is recognised.
// Rows that others changed are reported and left alone, and the other rows of their batch are written all the same.
// After a batch whose outcome stays unknown nothing more is written.
func Write(ctx context.Context, t table.Table, edit string, edits []rows.Row) []Outcome {
	w := writer{table: t, edit: edit}
	var outcomes []Outcome
	stopped := false
	for batch := range slices.Chunk(edits, Size) {
		if stopped {
			outcomes = append(outcomes, all(batch, Outcome{State: NotTried})...)
			continue
		}
		done := w.batch(ctx, batch)
		stopped = slices.ContainsFunc(done, func(o Outcome) bool { return o.State == Unknown || o.State == Failed })
		outcomes = append(outcomes, done...)
	}
	return outcomes
}

type writer struct {
	table table.Table
	edit  string
}

// batch writes one batch; rows in conflict are taken out until the rest is written.
func (w writer) batch(ctx context.Context, edits []rows.Row) []Outcome {
	var outcomes []Outcome
	for len(edits) > 0 {
		rev, lost, err := w.persist(ctx, edits)
		switch {
		case err == nil:
			return append(outcomes, all(edits, Outcome{State: Applied, Rev: rev})...)
		case !errors.Is(err, table.ErrConflict):
			return append(outcomes, all(edits, failure(lost, err))...)
		}
		settled, rest := w.settle(ctx, edits, table.Conflicts(err), lost)
		outcomes = append(outcomes, settled...)
		edits = rest
	}
	return outcomes
}

// persist repeats a write until the table decides on it or ctx ends. lost says that the answer to a try was lost.
// Repeating is safe: each edit names the revision it replaces, so that of two tries only one can take effect,
// also when the first one arrives late.
func (w writer) persist(ctx context.Context, edits []rows.Row) (rev int64, lost bool, err error) {
	for pause := firstPause; ; pause = min(2*pause, maxPause) {
		rev, err = w.once(ctx, edits)
		if err == nil || errors.Is(err, table.ErrConflict) || errors.Is(err, table.ErrInvalid) {
			return rev, lost, err
		}
		lost = lost || !errors.Is(err, table.ErrDown)
		if !ticker.Sleep(ctx, pause) {
			return 0, lost, err
		}
	}
}

func (w writer) once(ctx context.Context, edits []rows.Row) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return w.table.Write(ctx, edits...)
}

func failure(lost bool, err error) Outcome {
	if lost {
		return Outcome{State: Unknown, Err: err}
	}
	return Outcome{State: Failed, Err: err}
}

// all returns one outcome for each edit, like the one given.
func all(edits []rows.Row, like Outcome) []Outcome {
	outcomes := make([]Outcome, len(edits))
	for i, e := range edits {
		outcomes[i] = like
		outcomes[i].Edit = e
	}
	return outcomes
}
