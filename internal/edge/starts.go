package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/feed"
	"damaskreach/internal/rows"
	"damaskreach/internal/tenure"
)

const (
	// startFor is how long a host that starts waits for others to tell it all rows, beside its relays, which read them from the store.
	startFor = 3 * time.Second
	// rowsFor bounds asking others for all rows.
	rowsFor = 3 * time.Second
)

// patience returns for how long this host leaves the store's whole lists to others at its start: relays read them at once.
func (e *Edge) patience() time.Duration {
	if m := e.mates.Load(); m != nil {
		if relay, _ := m.Partners(); relay {
			return 0
		}
	}
	return startFor
}

// others asks the hosts that this one hears for all rows under a prefix.
func (e *Edge) others(ctx context.Context, prefix string) (list []rows.Row, rev int64, ok bool) {
	m, mesh := e.mates.Load(), e.mesh.Load()
	if m == nil {
		return nil, 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, rowsFor)
	defer cancel()
	_, partners := m.Partners()
	list, rev, err := e.fetch(mesh).Rows(ctx, partners, prefix, feed.Whole)
	if err != nil {
		return nil, 0, false
	}
	e.Log.Info("rows taken from other hosts", zap.String("rows", prefix), zap.Int64("revision", rev), zap.Int("count", len(list)))
	return list, rev, true
}

// stored returns rows as this host knows them, for another one that asks: those that changed after a revision, or all of them.
func (e *Edge) stored(prefix string, after int64) (list []rows.Row, rev int64, ok bool) {
	if after != feed.Whole {
		newer, ok := e.feeds.Since(prefix, after)
		return newer.Rows, newer.Rev, ok
	}
	list, rev = e.known(prefix)
	return list, rev, rev > 0
}

func (e *Edge) known(prefix string) (list []rows.Row, rev int64) {
	switch prefix {
	case e.Targets:
		return e.intake.Registrations()
	case e.Conf:
		return e.intake.Operators()
	case tenure.Prefix:
		return e.tenure.Rows()
	}
	return nil, 0
}
