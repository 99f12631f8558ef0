package tenure

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
)

// read brings the rows up to date, claims what is free, and returns when to read next.
func (t *Tenure) read(ctx context.Context, age time.Duration) time.Duration {
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
			list, rev, err = t.Table.List(callCtx, Prefix)
		}
	}
	if err != nil {
		t.Log.Debug("hosts not read", zap.Error(err))
		return firstEvery
	}
	t.apply(list, rev)
	t.endLapsed(ctx)
	if !t.claim(ctx, age) {
		return firstEvery
	}
	if t.Relaxed() {
		return restEvery
	}
	return min(readEvery, firstEvery+age/2)
}

func (t *Tenure) apply(list []rows.Row, rev int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	for _, row := range list {
		t.take(row, now)
	}
	t.at = max(t.at, rev)
}

func (t *Tenure) take(row rows.Row, now time.Duration) {
	switch {
	case row.Key == keyRow && !row.Gone:
		t.secret = row.Value
	case strings.HasPrefix(row.Key, hostPrefix):
		t.takeHost(strings.TrimPrefix(row.Key, hostPrefix), row, now)
	case strings.HasPrefix(row.Key, ownPrefix):
		t.takeOwn(strings.TrimPrefix(row.Key, ownPrefix), row)
	}
}

func (t *Tenure) takeHost(ip string, row rows.Row, now time.Duration) {
	if row.Gone {
		delete(t.hosts, ip)
		return
	}
	old := t.hosts[ip]
	if old.rev >= row.Rev {
		return
	}
	var s session
	if err := msgpack.Unmarshal(row.Value, &s); err != nil {
		t.Log.Warn("row of a host cannot be read", zap.String("host", ip), zap.Error(err))
		return
	}
	if old.session != s.withRates(old.Rates) {
		t.mark = max(t.mark, row.Rev)
	}
	t.hosts[ip] = seen{session: s, rev: row.Rev, since: now}
}

func (t *Tenure) takeOwn(id string, row rows.Row) {
	if row.Gone {
		delete(t.own, id)
		return
	}
	if t.own[id].rev >= row.Rev {
		return
	}
	var o ownership
	if err := msgpack.Unmarshal(row.Value, &o); err != nil {
		t.Log.Warn("row of an engine cannot be read", zap.String("target", id), zap.Error(err))
		return
	}
	t.mark = max(t.mark, row.Rev)
	t.own[id] = owned{ownership: o, rev: row.Rev}
}
