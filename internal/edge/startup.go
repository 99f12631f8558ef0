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
	// storePatienceAtStart is how long a starting host that is no relay waits for others to send it all rows; relays read them from
	// the store at once.
	storePatienceAtStart = 3 * time.Second
	// peerRowsTimeout bounds asking other hosts for all rows.
	peerRowsTimeout = 3 * time.Second
)

// storePatience returns how long a starting host waits for other hosts before it lists the whole store: relays list it at once.
func (e *Edge) storePatience() time.Duration {
	if m := e.mates.Load(); m != nil {
		if relay, _ := m.Partners(); relay {
			return 0
		}
	}
	return storePatienceAtStart
}

// rowsFromPeers asks this host's gossip partners for all rows under a prefix.
func (e *Edge) rowsFromPeers(ctx context.Context, prefix string) (list []rows.Row, rev int64, ok bool) {
	m, mesh := e.mates.Load(), e.mesh.Load()
	if m == nil {
		return nil, 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerRowsTimeout)
	defer cancel()
	_, partners := m.Partners()
	list, rev, err := e.newFetch(mesh).Rows(ctx, partners, prefix, feed.Whole)
	if err != nil {
		return nil, 0, false
	}
	e.Log.Info("rows fetched from other hosts", zap.String("rows", prefix), zap.Int64("revision", rev), zap.Int("count", len(list)))
	return list, rev, true
}

// rowsForPeer returns rows as this host knows them, for another host: those that changed after a revision, or all.
func (e *Edge) rowsForPeer(prefix string, after int64) (list []rows.Row, rev int64, ok bool) {
	if after != feed.Whole {
		newer, ok := e.feeds.Since(prefix, after)
		return newer.Rows, newer.Rev, ok
	}
	list, rev = e.knownRows(prefix)
	return list, rev, rev > 0
}

func (e *Edge) knownRows(prefix string) (list []rows.Row, rev int64) {
	switch prefix {
	case e.TargetPrefix:
		return e.intake.Registrations()
	case e.ConfPrefix:
		return e.intake.OperatorRows()
	case tenure.Prefix:
		return e.tenure.Rows()
	case factsPrefix:
		if list, ok := e.facts.Rows(); ok {
			return list, factsRev
		}
	}
	return nil, 0
}
