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
	"damaskreach/internal/turns"
)

const (
	// firstRows is how many rows a host reads from the store at its start before it asks others for all: those of some hundred hosts.
	firstRows = 500
	// othersEvery is the pause before others are asked again.
	othersEvery = 150 * time.Millisecond
)

// read brings the rows up to date, claims what is free, and returns when to look next. While another host reads for this one, it reads
// only what that one has found to be newer.
func (t *Tenure) read(ctx context.Context, age time.Duration) time.Duration {
	if !t.resting() {
		if err := t.fetch(ctx); err != nil {
			t.Log.Debug("hosts not read", zap.Error(err))
			return t.Pause()
		}
	}
	return t.claims(ctx, age)
}

// claims claims what is free and returns when to look next.
func (t *Tenure) claims(ctx context.Context, age time.Duration) time.Duration {
	if !t.yield(ctx) || !t.claim(ctx, age) {
		return t.soon()
	}
	return max(firstEvery, min(readEvery, firstEvery+age/2, t.untilOpen()))
}

// resting reports whether there is nothing to read at present.
func (t *Tenure) resting() bool {
	relaxed := t.Relaxed()
	t.mu.Lock()
	defer t.mu.Unlock()
	return relaxed && !t.outdated() && !t.unsure && !t.doubt && t.heard <= t.at && t.Clock()-t.full < t.restMost()
}

// restMost is how long this host rests at most.
func (t *Tenure) restMost() time.Duration {
	return max(restLeast, time.Duration(len(t.own)+len(t.hosts))*restRow)
}

// fetch reads what is new.
func (t *Tenure) fetch(ctx context.Context) error {
	t.mu.Lock()
	t.asked = t.Clock()
	after, unsure, direct, outdated := t.at, t.unsure, t.unsure || t.doubt, t.outdated()
	t.mu.Unlock()
	if outdated {
		after = 0
	}
	list, rev, after, err := t.news(ctx, after, direct)
	if err != nil {
		return err
	}
	news := t.apply(list, rev, after == 0)
	if after == 0 {
		after = feed.Whole
	}
	t.Keep(Prefix, after, rev, news)
	if unsure {
		t.sure()
	}
	if !t.Relaxed() {
		// Renewals are not passed on: to a host that lets another one read, all hosts would seem to have lapsed.
		t.endLapsed(ctx)
	}
	return nil
}

// sure notes that the store was read since this host's session began.
func (t *Tenure) sure() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsure = t.outdated()
}

// news returns the rows that changed after a revision, or all of them, after which revision, and up to which; direct has the store itself asked.
func (t *Tenure) news(ctx context.Context, at int64, direct bool) (list []rows.Row, rev, after int64, err error) {
	if at == 0 {
		return t.begin(ctx)
	}
	from := t.Table
	if direct {
		from = t.Store
	}
	list, rev, err = tail(ctx, from, at)
	if errors.Is(err, table.ErrCompacted) {
		// What others have not seen is told from where they are: what changed is found by what this host knew before.
		list, rev, err = t.list(ctx)
		if rows.CompareEras(rev, at) > 0 {
			at = 0
		}
	}
	return list, rev, at, err
}

// begin reads all rows, for the first time or in a new era: those of hosts from the store, by which this host finds the others, and where there are
// many more all that another host knows. Hundreds of hosts that begin at once would else have the store send its whole list to each.
func (t *Tenure) begin(ctx context.Context) (list []rows.Row, rev, after int64, err error) {
	begun := t.Clock()
	first, start, more, err := t.head(ctx)
	if err != nil || !more {
		return first, start, 0, err
	}
	t.meet(first)
	took := t.Clock() - begun
	left := func() time.Duration { return t.Patience() - took }
	ask := func() (ok bool) {
		list, rev, ok = t.Others(ctx, Prefix)
		return ok && rows.CompareEras(rev, start) == 0
	}
	if turns.Try(ctx, othersEvery, left, ask) {
		return append(first, list...), rev, 0, nil
	}
	list, rev, err = t.list(ctx)
	return list, rev, 0, err
}

// meet takes the first rows of a process that knows none yet.
func (t *Tenure) meet(first []rows.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at > 0 {
		return
	}
	now := t.Clock()
	for _, row := range first {
		t.take(row, now)
	}
}

// head returns the first rows, and the secret of the hosts, which comes last in the store's order.
func (t *Tenure) head(ctx context.Context) (list []rows.Row, rev int64, more bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	list, rev, more, err = t.Table.First(ctx, Prefix, firstRows)
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
	for id, o := range t.own {
		list = append(list, rows.Row{Key: ownPrefix + id, Value: encode(o.ownership), Rev: o.rev})
	}
	if t.secret != nil {
		list = append(list, rows.Row{Key: keyRow, Value: t.secret})
	}
	return list, t.at
}

func tail(ctx context.Context, from table.Table, after int64) ([]rows.Row, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	return from.Tail(ctx, Prefix, after)
}

func (t *Tenure) list(ctx context.Context) ([]rows.Row, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, listFor)
	defer cancel()
	return t.Table.List(ctx, Prefix)
}

// apply takes rows read up to a revision, all that there are or those that changed, and returns those that matter to others.
func (t *Tenure) apply(list []rows.Row, rev int64, whole bool) (news []rows.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	if whole {
		t.replace(rev, now)
	}
	for _, row := range list {
		if t.take(row, now) {
			news = append(news, row)
			// Without its session, the engines that it claims would seem to have no host.
			t.untold = t.untold && row.Key != hostPrefix+t.IP
		}
	}
	if t.at == 0 {
		t.calm = t.began()
	}
	t.at = max(t.at, rev)
	t.full, t.doubt = now, false
	return news
}

// take reports whether others should know of a row: not of renewals that change nothing else.
func (t *Tenure) take(row rows.Row, now time.Duration) bool {
	if t.compareEra(row.Rev) < 0 {
		return false
	}
	switch {
	case row.Key == keyRow && !row.Gone:
		t.secret, t.keyed = row.Value, true
		return true
	case strings.HasPrefix(row.Key, hostPrefix):
		return t.takeHost(strings.TrimPrefix(row.Key, hostPrefix), row, now)
	case strings.HasPrefix(row.Key, ownPrefix):
		return t.takeOwn(strings.TrimPrefix(row.Key, ownPrefix), row, now)
	}
	return false
}

func (t *Tenure) takeHost(ip string, row rows.Row, now time.Duration) bool {
	if row.Gone {
		delete(t.hosts, ip)
		delete(t.silent, ip)
		return true
	}
	old := t.hosts[ip]
	if old.rev >= row.Rev {
		// This host has written it itself, and the others have not heard of it: the end of a session, a session of its own, or a mere renewal.
		return old.rev == row.Rev && (ip != t.IP || t.untold)
	}
	var s session
	if err := msgpack.Unmarshal(row.Value, &s); err != nil {
		t.Log.Warn("row of a host cannot be read", zap.String("host", ip), zap.Error(err))
		return false
	}
	changed := old.session != s.withRates(old.Rates)
	if changed {
		t.mark = max(t.mark, row.Rev)
	}
	t.hosts[ip] = seen{session: s, rev: row.Rev, since: now}
	return changed
}

func (t *Tenure) takeOwn(id string, row rows.Row, now time.Duration) bool {
	if row.Gone {
		delete(t.own, id)
		delete(t.named, id)
		delete(t.yielded, id)
		return true
	}
	if t.own[id].rev >= row.Rev {
		return t.own[id].rev == row.Rev
	}
	var o ownership
	if err := msgpack.Unmarshal(row.Value, &o); err != nil {
		t.Log.Warn("row of an engine cannot be read", zap.String("target", id), zap.Error(err))
		return false
	}
	t.mark = max(t.mark, row.Rev)
	delete(t.yielded, id)
	since := now
	if t.at == 0 {
		since = t.begun
	}
	t.own[id] = owned{ownership: o, rev: row.Rev, seen: now, since: since, checked: t.asked}
	t.raise(id, t.own[id])
	if o.IP == t.IP {
		t.named[id] = true
	} else {
		delete(t.named, id)
	}
	return true
}
