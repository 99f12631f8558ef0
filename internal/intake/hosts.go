package intake

import (
	"context"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/ticker"
)

const (
	// confFetchTimeout is how long a starting host tries to fetch the operators' rows in force from another one, confRetryInterval the pause
	// between tries: it must discover other hosts first.
	confFetchTimeout  = 3 * time.Second
	confRetryInterval = 500 * time.Millisecond
)

// OperatorRows returns the operators' rows in force at this host, and the revision up to which it has read them; 0 where it knows none yet.
func (i *Intake) OperatorRows() (list []rows.Row, rev int64) {
	i.operatorsMu.Lock()
	defer i.operatorsMu.Unlock()
	for _, row := range i.operators {
		list = append(list, row)
	}
	return list, i.confAt.Load()
}

// applyConfFromHosts applies the operators' rows in force at another host. If the store was restored from a backup and operators have not
// yet repeated the lost changes, the store has older rows.
func (i *Intake) applyConfFromHosts(ctx context.Context) {
	list, _, _ := i.fetchFromHosts(ctx, i.Conf, confRetryInterval, func() time.Duration { return confFetchTimeout })
	for _, row := range list {
		i.applyConfRow(row, time.Time{})
	}
}

// fetchFromHosts asks other hosts for all rows under a prefix, with a pause after each try, until one answers or the patience ends.
func (i *Intake) fetchFromHosts(
	ctx context.Context, prefix string, pause time.Duration, patience func() time.Duration,
) (list []rows.Row, rev int64, ok bool) {
	ticker.Retry(ctx, pause, patience, func() bool {
		list, rev, ok = i.FetchFromHost(ctx, prefix)
		return ok
	})
	if !ok {
		return nil, 0, false
	}
	return list, rev, true
}
