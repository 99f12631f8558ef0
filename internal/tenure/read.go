package tenure

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"damaskreach/internal/feed"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

const (
	// headRows is how many rows a host reads from the store at its start before it asks other hosts for all: those of some hundred hosts.
	headRows = 500
	// peerRetryInterval is the delay before other hosts are asked again.
	peerRetryInterval = 150 * time.Millisecond
)

// readAndClaim reads new rows, claims unowned engines, and returns the time to the next step. While another host reads the store for
// this one, it reads only if that host has reported newer rows, or if its own rows are doubtful or too old.
func (t *Tenure) readAndClaim(ctx context.Context, age time.Duration) time.Duration {
	if !t.canSkipRead() {
		if err := t.fetchRows(ctx); err != nil {
			t.Log.Debug("reading the rows of hosts failed", zap.Error(err))
			return t.RetryDelay()
		}
	}
	return t.claimStep(ctx, age)
}

// claimStep releases and claims engines and returns the time to the next step.
func (t *Tenure) claimStep(ctx context.Context, age time.Duration) time.Duration {
	if !t.releaseUnreachable(ctx) || !t.claimUnowned(ctx, age) {
		return t.claimDelay()
	}
	return max(shortInterval, min(readInterval, shortInterval+age/2, t.nextClaimIn()))
}

// canSkipRead reports whether another host reads for this one and has reported nothing newer.
func (t *Tenure) canSkipRead() bool {
	delegated := t.ReadDelegated()
	t.mu.Lock()
	defer t.mu.Unlock()
	return delegated && !t.eraOutdated() && !t.ownersStale && !t.rowsDoubtful && !t.partUnread() &&
		t.peerRev <= t.readRev && t.Clock()-t.lastRead < t.delegatedInterval()
}

// delegatedInterval is the longest time between two reads while another host reads for this one.
func (t *Tenure) delegatedInterval() time.Duration {
	return max(minDelegatedInterval, time.Duration(len(t.owners)+len(t.hosts))*delegatedIntervalPerRow)
}

// fetchRows reads new rows and applies them.
func (t *Tenure) fetchRows(ctx context.Context) error {
	t.mu.Lock()
	t.readBegan = t.Clock()
	after, stale, direct, outdated := t.readRev, t.ownersStale, t.ownersStale || t.rowsDoubtful || t.partUnread(), t.eraOutdated()
	t.mu.Unlock()
	if outdated {
		after = 0
	}
	list, rev, after, err := t.changedRows(ctx, after, direct)
	if err != nil {
		return err
	}
	news := t.applyRows(list, rev, after == 0)
	if after == 0 {
		after = feed.Whole
	}
	t.Publish(Prefix, after, rev, news)
	if stale {
		t.markOwnersFresh()
	}
	if !t.ReadDelegated() {
		// Renewals are not passed on: to a host that does not read the store, all hosts would seem to have lapsed.
		t.endLapsedSessions(ctx)
	}
	return nil
}

// markOwnersFresh notes that the store was read since this host's session began.
func (t *Tenure) markOwnersFresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ownersStale = t.eraOutdated()
}

// changedRows returns the rows that changed after a revision, or all of them, after which revision, and up to which; direct reads the
// store itself.
func (t *Tenure) changedRows(ctx context.Context, at int64, direct bool) (list []rows.Row, rev, after int64, err error) {
	if at == 0 {
		return t.readAll(ctx)
	}
	from := t.Table
	if direct {
		from = t.Store
	}
	list, rev, err = tailRows(ctx, from, at)
	if errors.Is(err, table.ErrCompacted) {
		// Publish still gets the changes after the old revision: applyRows finds them by comparison with the known rows.
		list, rev, err = t.listRows(ctx)
		if rows.CompareEras(rev, at) > 0 {
			at = 0
		}
	}
	return list, rev, at, err
}

// readAll reads all rows, at the start or in a new era: those of hosts from the store, by which this host finds the others, and, if there
// are many more, all rows from another host. The store would have to send its whole list to hundreds of hosts that start at once.
func (t *Tenure) readAll(ctx context.Context) (list []rows.Row, rev, after int64, err error) {
	begun := t.Clock()
	first, start, more, err := t.readHead(ctx)
	if err != nil || !more {
		return first, start, 0, err
	}
	t.applyHead(first)
	took := t.Clock() - begun
	left := func() time.Duration { return t.PeerTimeout() - took }
	ask := func() (ok bool) {
		list, rev, ok = t.ListFromPeers(ctx, Prefix)
		return ok && rows.CompareEras(rev, start) == 0
	}
	if ticker.Retry(ctx, peerRetryInterval, left, ask) {
		return append(first, list...), rev, 0, nil
	}
	list, rev, err = t.listRows(ctx)
	return list, rev, 0, err
}

// applyHead applies the first rows read by a process that knows none yet.
func (t *Tenure) applyHead(first []rows.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readRev > 0 {
		return
	}
	now := t.Clock()
	for _, row := range first {
		t.applyRow(row, now)
	}
}

// readHead returns the first rows, and the secret of the hosts, which is last in the store's order.
func (t *Tenure) readHead(ctx context.Context) (list []rows.Row, rev int64, more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, rev, more, err = t.Table.First(ctx, Prefix, headRows)
	if err != nil || !more {
		return list, rev, more, err
	}
	secret, err := t.Table.Read(ctx, keyRow)
	if errors.Is(err, table.ErrAbsent) {
		return list, rev, more, nil
	}
	return append(list, secret), rev, more, err
}

// Rows returns all rows that this host knows, and up to which revision; 0 where it knows none yet.
func (t *Tenure) Rows() (list []rows.Row, rev int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for ip, h := range t.hosts {
		list = append(list, rows.Row{Key: hostPrefix + ip, Value: encode(h.session), Rev: h.rev})
	}
	for id, o := range t.owners {
		list = append(list, rows.Row{Key: ownPrefix + id, Value: encode(o.ownership), Rev: o.rev})
	}
	if t.secret != nil {
		list = append(list, rows.Row{Key: keyRow, Value: t.secret})
	}
	return list, t.readRev
}

func tailRows(ctx context.Context, from table.Table, after int64) ([]rows.Row, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return from.Tail(ctx, Prefix, after)
}

func (t *Tenure) listRows(ctx context.Context) ([]rows.Row, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return t.Table.List(ctx, Prefix)
}

// applyRows applies rows read up to a revision, all rows or changed ones, and returns those that matter to other hosts.
func (t *Tenure) applyRows(list []rows.Row, rev int64, whole bool) (news []rows.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	if whole {
		t.resetRows(rev, now)
	}
	for _, row := range list {
		if t.applyRow(row, now) {
			news = append(news, row)
			// While other hosts lack this host's session, the engines that it claims seem to them to have no owner. So the session counts as
			// unpublished until its row is among the news.
			t.sessionUnpublished = t.sessionUnpublished && row.Key != hostPrefix+t.IP
		}
	}
	if t.readRev == 0 {
		t.eraSettled = t.nothingLost()
	}
	t.readRev = max(t.readRev, rev)
	t.lastRead, t.rowsDoubtful = now, false
	t.checkOthers()
	return news
}

// applyRow applies a row and reports whether other hosts need it: they need no renewals that change nothing else.
func (t *Tenure) applyRow(row rows.Row, now time.Duration) bool {
	if t.compareEra(row.Rev) < 0 {
		return false
	}
	switch {
	case row.Key == keyRow && !row.Gone:
		t.secret, t.secretStored = row.Value, true
		return true
	case strings.HasPrefix(row.Key, hostPrefix):
		return t.applyHost(strings.TrimPrefix(row.Key, hostPrefix), row, now)
	case strings.HasPrefix(row.Key, ownPrefix):
		return t.applyOwner(strings.TrimPrefix(row.Key, ownPrefix), row, now)
	}
	return false
}

func (t *Tenure) applyHost(ip string, row rows.Row, now time.Duration) bool {
	if row.Gone {
		delete(t.hosts, ip)
		delete(t.silentSince, ip)
		return true
	}
	old := t.hosts[ip]
	if old.rev >= row.Rev {
		// This host wrote the row itself, and other hosts may not know it: the end of a session, its own session, or a mere renewal.
		return old.rev == row.Rev && (ip != t.IP || t.sessionUnpublished)
	}
	var s session
	if err := msgpack.Unmarshal(row.Value, &s); err != nil {
		t.Log.Warn("row of a host cannot be decoded", zap.String("host", ip), zap.Error(err))
		return false
	}
	changed := old.session != s.withRates(old.Rates)
	if changed {
		t.newestRev = max(t.newestRev, row.Rev)
	}
	t.hosts[ip] = hostRow{session: s, rev: row.Rev, seenAt: now}
	return changed
}

func (t *Tenure) applyOwner(id string, row rows.Row, now time.Duration) bool {
	if row.Gone {
		delete(t.owners, id)
		delete(t.ownIDs, id)
		delete(t.releasing, id)
		return true
	}
	if t.owners[id].rev >= row.Rev {
		return t.owners[id].rev == row.Rev
	}
	var o ownership
	if err := msgpack.Unmarshal(row.Value, &o); err != nil {
		t.Log.Warn("row of an engine cannot be decoded", zap.String("target", id), zap.Error(err))
		return false
	}
	t.newestRev = max(t.newestRev, row.Rev)
	delete(t.releasing, id)
	since := now
	if t.readRev == 0 {
		since = t.startedAt
	}
	t.owners[id] = ownerRow{ownership: o, rev: row.Rev, seenAt: now, heldSince: since, checkedAt: t.readBegan}
	t.raiseFence(id, t.owners[id])
	if o.IP == t.IP {
		t.ownIDs[id] = true
	} else {
		delete(t.ownIDs, id)
	}
	return true
}
