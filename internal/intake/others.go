package intake

import (
	"context"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/turns"
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
	turns.Try(ctx, askEvery, func() time.Duration { return othersFor }, func() bool {
		list, _, ok := i.Others(ctx, i.Conf)
		for _, row := range list {
			if ok && !i.noNewer(row) {
				i.takeConfRow(row, time.Time{})
			}
		}
		return ok
	})
}

// noNewer reports whether a row holds a configuration that is no newer than this host's own. One of the same version the store may have got again since.
func (i *Intake) noNewer(row rows.Row) bool {
	r, ok, err := i.Rules(row)
	return err == nil && ok && r.Version <= i.View().Rules.Version
}
