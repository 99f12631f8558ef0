package intake

import (
	"context"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/ticker"
)

const (
	// othersFor is how long a host that starts tries to ask another one which of the operators' rows are in force, and askEvery the pause between two
	// tries: it must have found other hosts first.
	othersFor = 3 * time.Second
	askEvery  = 500 * time.Millisecond
)

// Operators returns the operators' rows that are in force at this host, and up to which revision it has read them; 0 where it knows none yet.
func (i *Intake) Operators() (list []rows.Row, rev int64) {
	i.operatorsMu.Lock()
	defer i.operatorsMu.Unlock()
	for _, row := range i.operators {
		list = append(list, row)
	}
	return list, i.confAt.Load()
}

// takeFromOthers takes the operators' rows that are in force at another host. Where the store has come back from a copy and operators have not written
// again what is lost, this one has read older ones.
func (i *Intake) takeFromOthers(ctx context.Context) {
	list, _, _ := i.askOthers(ctx, i.Conf, askEvery, func() time.Duration { return othersFor })
	for _, row := range list {
		i.takeConfRow(row, time.Time{})
	}
}

// askOthers asks other hosts for all rows under a prefix, with a pause after each try, until one tells them or the patience ends.
func (i *Intake) askOthers(ctx context.Context, prefix string, pause time.Duration, patience func() time.Duration) (list []rows.Row, rev int64, ok bool) {
	ticker.Retry(ctx, pause, patience, func() bool {
		list, rev, ok = i.Others(ctx, prefix)
		return ok
	})
	if !ok {
		return nil, 0, false
	}
	return list, rev, true
}
