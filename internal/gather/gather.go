// Package gather writes many rows to the table service in few transactions.
//
// The service takes several hundred writes a second; at peak there are 15,000 requests a second. Edits that arrive
// within one window go into one transaction. A conflict fails the whole transaction, so the edits it names are answered
// and the others are written again at once.
package gather

import (
	"context"
	"errors"
	"slices"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

const (
	mostEdits = 1000            // in one transaction
	timeout   = 5 * time.Second // for one transaction
	backlog   = 4096
)

// Gather gathers edits for one table.
type Gather struct {
	table  table.Table
	window time.Duration
	queue  chan edit
	done   chan struct{}
}

type edit struct {
	row    rows.Row
	answer chan outcome // holds one
}

type outcome struct {
	rev int64
	err error
}

// NewGather returns a gatherer that waits window for more edits before it writes.
func NewGather(t table.Table, window time.Duration) *Gather {
	return &Gather{table: t, window: window, queue: make(chan edit, backlog), done: make(chan struct{})}
}

// Write applies one edit and returns its revision, with the errors of table.Table: ErrConflict and ErrDown mean that
// it was not applied; any other error leaves that open.
func (c *Gather) Write(ctx context.Context, row rows.Row) (int64, error) {
	e := edit{row: row, answer: make(chan outcome, 1)}
	select {
	case c.queue <- e:
	case <-c.done:
		return 0, table.ErrDown
	case <-ctx.Done():
		return 0, table.ErrDown
	}
	select {
	case o := <-e.answer:
		return o.rev, o.err
	case <-c.done:
		return 0, table.ErrLost
	case <-ctx.Done():
		return 0, table.ErrLost
	}
}

// Run writes gathered edits until ctx ends. While one transaction is on its way the next one is gathered.
func (c *Gather) Run(ctx context.Context) {
	defer close(c.done)
	for {
		batch := c.gather(ctx)
		if batch == nil {
			return
		}
		c.write(ctx, batch)
	}
}

func (c *Gather) gather(ctx context.Context) []edit {
	var batch []edit
	select {
	case <-ctx.Done():
		return nil
	case e := <-c.queue:
		batch = append(batch, e)
	}
	timer := time.NewTimer(c.window)
	defer timer.Stop()
	for len(batch) < mostEdits {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			return batch
		case e := <-c.queue:
			batch = append(batch, e)
		}
	}
	return batch
}

// write applies a batch, with edits of one key in transactions of their own, since the service takes a key once.
func (c *Gather) write(ctx context.Context, batch []edit) {
	for len(batch) > 0 {
		now, later := split(batch)
		c.apply(ctx, now)
		batch = later
	}
}

func split(batch []edit) (now, later []edit) {
	seen := map[string]bool{}
	for _, e := range batch {
		if seen[e.row.Key] {
			later = append(later, e)
			continue
		}
		seen[e.row.Key] = true
		now = append(now, e)
	}
	return now, later
}

func (c *Gather) apply(ctx context.Context, batch []edit) {
	for len(batch) > 0 {
		rev, err := c.transact(ctx, batch)
		if !errors.Is(err, table.ErrConflict) {
			answer(batch, outcome{rev, err})
			return
		}
		batch = withoutConflicts(batch, err)
	}
}

func (c *Gather) transact(ctx context.Context, batch []edit) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	edits := make([]rows.Row, 0, len(batch))
	for _, e := range batch {
		edits = append(edits, e.row)
	}
	return c.table.Write(ctx, edits...)
}

func answer(batch []edit, o outcome) {
	for _, e := range batch {
		e.answer <- o
	}
}

// withoutConflicts answers the edits a conflict names and returns the others. A conflict that names none of them
// answers all, so that a service which breaks its word cannot keep the batch going round.
func withoutConflicts(batch []edit, err error) []edit {
	var left []edit
	keys := table.Conflicts(err)
	for _, e := range batch {
		if slices.Contains(keys, e.row.Key) {
			e.answer <- outcome{0, err}
			continue
		}
		left = append(left, e)
	}
	if len(left) == len(batch) {
		answer(batch, outcome{0, err})
		return nil
	}
	return left
}
