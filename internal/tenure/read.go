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
	if !t.claim(ctx, age) {
		return firstEvery
	}
	return min(readEvery, firstEvery+age/2)
}

// resting reports whether there is nothing to read at present.
func (t *Tenure) resting() bool {
	relaxed := t.Relaxed()
	t.mu.Lock()
	defer t.mu.Unlock()
	return relaxed && t.at > 0 && t.heard <= t.at && t.Clock()-t.full < restEvery
}

// fetch reads what is new.
func (t *Tenure) fetch(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	t.mu.Lock()
	after := t.at
	t.mu.Unlock()
	var list []rows.Row
	var rev int64
	var err error
	if after == 0 {
		list, rev, err = t.Table.List(callCtx, Prefix)
	} else {
		list, rev, err = t.Table.Tail(callCtx, Prefix, after)
		if errors.Is(err, table.ErrCompacted) {
			after = 0
			list, rev, err = t.Table.List(callCtx, Prefix)
		}
	}
	if err != nil {
		return err
	}
	news := t.apply(list, rev)
	if after == 0 {
		after = feed.Whole
	}
	t.Keep(Prefix, after, rev, news)
	if !t.Relaxed() {
		// Renewals are not passed on: to a host that lets another one read, all hosts would seem to have lapsed.
		t.endLapsed(ctx)
	}
	return nil
}

// apply takes rows read up to a revision, and returns those that matter to others.
func (t *Tenure) apply(list []rows.Row, rev int64) (news []rows.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	for _, row := range list {
		if t.take(row, now) {
			news = append(news, row)
		}
	}
	t.at = max(t.at, rev)
	t.full = now
	return news
}

// take reports whether others should know of a row: not of renewals that change nothing else.
func (t *Tenure) take(row rows.Row, now time.Duration) bool {
	switch {
	case row.Key == keyRow && !row.Gone:
		t.secret = row.Value
		return true
	case strings.HasPrefix(row.Key, hostPrefix):
		return t.takeHost(strings.TrimPrefix(row.Key, hostPrefix), row, now)
	case strings.HasPrefix(row.Key, ownPrefix):
		return t.takeOwn(strings.TrimPrefix(row.Key, ownPrefix), row)
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
		// This host has written it itself, and the others have not heard of it: the end of a session, or its own renewal.
		return old.rev == row.Rev && ip != t.IP
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

func (t *Tenure) takeOwn(id string, row rows.Row) bool {
	if row.Gone {
		delete(t.own, id)
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
	t.own[id] = owned{ownership: o, rev: row.Rev}
	return true
}
