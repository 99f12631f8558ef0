package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/assign"
	"damaskreach/internal/rows"
	"damaskreach/internal/sess"
)

// follow reads the tails of session and ownership rows until ctx ends.
func (o *Owner) follow(ctx context.Context) {
	timer := time.NewTicker(o.Poll)
	defer timer.Stop()
	var at tails
	for {
		if err := o.readTails(ctx, &at); err != nil {
			o.Log.Warn("reading sessions and ownership rows failed", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-o.wake:
		}
	}
}

// nudge makes the next reading happen now.
func (o *Owner) nudge() {
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

func (o *Owner) readTails(ctx context.Context, at *tails) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	nodes, nodesRev, err := o.Table.Tail(ctx, sess.Prefix(o.Site), at.nodes)
	if err != nil {
		return err
	}
	owns, ownsRev, err := o.Table.Tail(ctx, assign.Prefix(o.Site), at.owns)
	if err != nil {
		return err
	}
	at.nodes = max(nodesRev, at.nodes)
	at.owns = max(ownsRev, at.owns)
	return o.Loop.Do(ctx, func() {
		o.Members.Learn(time.Now(), o.Site, nodes)
		o.learn(owns)
		o.plan(time.Now())
	})
}

// learn takes ownership rows; an older revision than the one seen changes nothing.
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

// checkOwn gives a runner up as soon as its row names another owner.
func (o *Owner) checkOwn(name string) {
	h := o.held[name]
	if h == nil {
		return
	}
	seen := o.rows[name]
	if seen.rev > h.rev && seen.row.Fence > h.fence {
		o.giveUp(h, "another node owns the runner now")
	}
}
