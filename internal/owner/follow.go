package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/assign"
	"damaskreach/internal/rows"
	"damaskreach/internal/sess"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

// follow reads the tails of session and ownership rows until ctx ends.
func (o *Owner) follow(ctx context.Context) {
	var at tails
	for range ticker.Repeat(ctx, o.Poll, o.wake) {
		if err := o.readTails(ctx, &at); err != nil {
			o.Log.Warn("reading sessions and ownership rows failed", zap.Error(err))
		}
	}
}

// Nudge reads sessions and ownership rows now instead of at the next interval.
func (o *Owner) Nudge() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// tails are the revisions up to which rows have been read.
type tails struct {
	nodes int64
	owns  int64
}

// readTails applies the rows that have changed. Sessions from a replica that is behind an earlier reading are ignored: by them, live nodes would
// seem not to have renewed, and sessions that have ended would come back.
func (o *Owner) readTails(ctx context.Context, at *tails) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	begin := time.Now()
	nodes, err := o.read(ctx, sess.Prefix(o.Site), at.nodes)
	if err != nil {
		return err
	}
	owns, err := o.read(ctx, assign.Prefix(o.Site), at.owns)
	if err != nil {
		return err
	}
	stale := nodes.rev < at.nodes
	at.nodes = max(nodes.rev, at.nodes)
	at.owns = max(owns.rev, at.owns)
	return o.Loop.Do(ctx, func() {
		if !stale {
			o.learnNodes(begin, nodes)
		}
		o.learn(owns.rows)
		o.plan(time.Now())
	})
}

// reading is the rows under a prefix, or those that have changed.
type reading struct {
	rows  []rows.Row
	rev   int64
	whole bool // all rows rather than changes
}

// read returns the changes after a revision, or all rows if the service no longer knows all deletions since then.
func (o *Owner) read(ctx context.Context, prefix string, after int64) (reading, error) {
	changed, rev, err := o.Table.Tail(ctx, prefix, after)
	if errors.Is(err, table.ErrCompacted) {
		all, rev, err := o.Table.List(ctx, prefix)
		return reading{rows: all, rev: rev, whole: true}, err
	}
	return reading{rows: changed, rev: rev}, err
}

func (o *Owner) learnNodes(begin time.Time, r reading) {
	now := time.Now()
	if r.whole {
		o.Members.LearnWhole(begin, now, o.Site, r.rows, r.rev)
		return
	}
	o.Members.Learn(begin, now, o.Site, r.rows)
}

// learn applies ownership rows. A revision older than the one seen changes nothing.
func (o *Owner) learn(changed []rows.Row) {
	for _, row := range changed {
		name := row.Key[len(assign.Prefix(o.Site)):]
		if row.Rev <= o.rows[name].rev {
			continue
		}
		a, err := assign.Decode(row.Value)
		if err != nil && !row.Gone {
			o.Log.Error("an ownership row cannot be read", zap.String("key", row.Key), zap.Error(err))
			continue
		}
		o.rows[name] = seenRow{row: a, rev: row.Rev}
		o.checkOwn(name)
	}
}

// checkOwn releases a runner as soon as its row names another owner.
func (o *Owner) checkOwn(name string) {
	h := o.held[name]
	if h == nil {
		return
	}
	seen := o.rows[name]
	if seen.row.Fence == h.fence && seen.row.Session == h.row.Session && !o.busy[name] {
		// An earlier write of this owner took effect after it had timed out. Later writes that expect the revision before it would all fail, and
		// nothing could be unloaded any more.
		h.rev = max(h.rev, seen.rev)
	}
	if seen.rev > h.rev && seen.row.Fence > h.fence {
		o.giveUp(h, "another node owns the runner now")
	}
}
