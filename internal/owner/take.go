package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/assign"
	"damaskreach/internal/reason"
	"damaskreach/internal/rows"
	"damaskreach/internal/runner"
	"damaskreach/internal/sess"
	"damaskreach/internal/table"
)

// take starts the takeover of a runner that no session owns.
func (o *Owner) take(r runner.Runner, me sess.Session) {
	if !o.Lease.Valid() {
		return
	}
	seen := o.rows[r.Name]
	former := seen.row.Session
	lapsed := former != "" && former != me.ID() && !seen.row.Released && !o.over(former)
	o.busy[r.Name] = true
	go func() {
		row, rev, err := o.writeTake(seen, r, me, lapsed)
		_ = o.Loop.Post(func() { o.taken(r, row, rev, err) })
	}()
}

// over reports whether a session has declared its own end, which is final.
func (o *Owner) over(id string) bool {
	s, known := o.Members.Get(id)
	return known && s.State == sess.Ended
}

func (o *Owner) writeTake(seen seenRow, r runner.Runner, me sess.Session, lapsed bool) (assign.Assignment, int64, error) {
	next := seen.row.WithOwner(me.ID(), me.Peer)
	next.Runner = r.Name
	edits := []rows.Row{{Key: assign.Key(o.Site, r.Name), Rev: seen.rev, Value: next.Encode()}}
	if lapsed {
		// The view may come from a lagging replica that lacks the former's session, so the transaction checks that the session has ended.
		edits = append(edits, rows.Row{Key: sess.Key(o.Site, seen.row.Session), Gone: true})
	}
	o.Pause(BeforeTake)
	ctx, cancel := context.WithTimeout(o.ctx, tableTimeout)
	defer cancel()
	rev, err := o.Table.Write(ctx, edits...)
	if err != nil {
		rev, err = o.settle(ctx, next, err)
	}
	return next, rev, err
}

// settle finds out whether a write of an ownership row took effect although its answer was lost. If it were assumed to have failed, the owner of the
// runner would not know that it is.
func (o *Owner) settle(ctx context.Context, next assign.Assignment, cause error) (int64, error) {
	if errors.Is(cause, table.ErrDown) {
		return 0, cause
	}
	row, err := o.Table.Read(ctx, assign.Key(o.Site, next.Runner))
	if err != nil {
		return 0, cause
	}
	found, err := assign.Decode(row.Value)
	if err != nil {
		return 0, err
	}
	if !found.Same(next) {
		return 0, cause
	}
	return row.Rev, nil
}

func (o *Owner) taken(r runner.Runner, row assign.Assignment, rev int64, err error) {
	delete(o.busy, r.Name)
	if err != nil {
		o.Log.Warn("taking a runner over failed", zap.String("runner", r.Name), zap.Error(err))
		return
	}
	o.rows[r.Name] = seenRow{row: row, rev: rev}
	now := time.Now()
	o.retune()
	h := o.newHeld(r, row, rev)
	o.held[r.Name] = h
	o.Note(reason.Reason{Kind: reason.Taken, Text: "this node took the runner over", Runner: r.Name, Fence: row.Fence}, "")
	o.Log.Info("took a runner over", zap.String("runner", r.Name), zap.Int64("fence", row.Fence))
	if r.Leaving {
		h.leaving = true
		h.sched.Close(now, "the runner is leaving")
	}
	o.poll(h)
	o.announce(now)
}
