package owner

import (
	"context"
	"errors"
	"path"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/reason"
	"damaskreach/internal/rows"
	"damaskreach/internal/runner"
	"damaskreach/internal/sess"
	"damaskreach/internal/spread"
	"damaskreach/internal/table"
)

// plan compares the runners held with this node's fair share, and takes over or releases runners accordingly.
func (o *Owner) plan(now time.Time) {
	me := o.Lease.Session()
	serving := o.serving(now, me)
	runners := o.runners()
	wish := spread.NewSpread(runners, serving, o.owners(now))
	for _, r := range runners {
		o.planRunner(r, wish[r.Name], me)
	}
	o.dropRemoved(runners)
	o.declareEnded(now, serving)
}

// runners returns the operators' rows. Those whose hosts are leaving by the platform's host list are marked as leaving.
func (o *Owner) runners() []runner.Runner {
	all := o.Catalog().AllRunners()
	marked := make([]runner.Runner, 0, len(all))
	for _, r := range all {
		r.Leaving = r.Leaving || o.Leaving(r.Addr)
		marked = append(marked, r)
	}
	return marked
}

func (o *Owner) serving(now time.Time, me sess.Session) []sess.Session {
	var serving []sess.Session
	for _, s := range o.Members.Serving(now) {
		if s.ID() != me.ID() {
			serving = append(serving, s)
		}
	}
	if !o.leaving {
		// The view may be too old to contain this node, which must not make it release its runners.
		serving = append(serving, me)
	}
	return serving
}

// owners returns the current owner of each runner by the rows read, without released runners.
func (o *Owner) owners(now time.Time) map[string]string {
	owners := map[string]string{}
	for name, seen := range o.rows {
		if !seen.row.Released {
			owners[name] = seen.row.Session
		}
	}
	return owners
}

func (o *Owner) planRunner(r runner.Runner, wished string, me sess.Session) {
	h := o.held[r.Name]
	switch {
	case o.busy[r.Name]:
	case h == nil && wished == me.ID() && o.free(r.Name, me):
		o.take(r, me)
	case h != nil && wished != "" && wished != me.ID():
		o.release(h)
	case h != nil:
		o.respec(h, r)
	}
}

// free reports whether a runner has no owner whose session is still valid.
func (o *Owner) free(name string, me sess.Session) bool {
	seen, ok := o.rows[name]
	if !ok || seen.row.Released || seen.row.Session == me.ID() {
		return true
	}
	_, known := o.Members.Get(seen.row.Session)
	return !known || o.over(seen.row.Session)
}

// respec applies a change of the operators' row. A runner marked as leaving is closed to new starts. After any other change the runner is taken over
// again, so that running requests keep the row with which they started.
func (o *Owner) respec(h *held, r runner.Runner) {
	switch {
	case h.spec == r || h.leaving && r.Leaving:
	case r.Leaving:
		h.leaving = true
		o.carry(h, h.sched.Close(time.Now(), "the runner is leaving"))
		o.announce(time.Now())
	default:
		o.giveUp(h, "the runner's row was changed")
	}
}

// dropRemoved releases runners that operators have deleted.
func (o *Owner) dropRemoved(runners []runner.Runner) {
	named := map[string]bool{}
	for _, r := range runners {
		named[r.Name] = true
	}
	for name, h := range o.held {
		if !named[name] {
			o.giveUp(h, "the runner was removed from the table")
		}
	}
}

// declareEnded deletes the rows of sessions that have expired, which frees their runners. One node does so first, and the others only if it fails
// to, which avoids conflicts in the table service.
func (o *Owner) declareEnded(now time.Time, serving []sess.Session) {
	if o.leaving || !o.Lease.Valid() {
		return
	}
	var ids []string
	for _, s := range serving {
		ids = append(ids, s.ID())
	}
	for _, edit := range o.Members.Ended(now, 0) {
		if spread.OwnerOf(ids, edit.Key) == o.Lease.Session().ID() {
			o.end(edit)
		}
	}
	for _, edit := range o.Members.Ended(now, endGrace) {
		o.end(edit)
	}
}

func (o *Owner) end(edit rows.Row) {
	if o.busy[edit.Key] {
		return
	}
	o.busy[edit.Key] = true
	go o.declare(edit)
}

// Ending reports whether this node is ending a session at the moment. It must be called on the control goroutine.
func (o *Owner) Ending(key string) bool {
	return o.busy[key]
}

func (o *Owner) declare(edit rows.Row) {
	ctx, cancel := context.WithTimeout(o.ctx, tableTimeout)
	defer cancel()
	_, err := o.Table.Write(ctx, edit)
	if err != nil && !errors.Is(err, table.ErrConflict) {
		o.Log.Warn("ending a lapsed session failed", zap.String("key", edit.Key), zap.Error(err))
	}
	if err == nil {
		o.Note(reason.Reason{Kind: reason.Ended, Text: "the lapsed session " + path.Base(edit.Key) + " was ended, so that its runners can be taken over"}, "")
		o.Log.Info("ended a lapsed session", zap.String("key", edit.Key))
	}
	_ = o.Loop.Post(func() { delete(o.busy, edit.Key) })
	if err == nil {
		// After a conflict the view is too old. Another reading from the same lagging replica at once would lead to the same write, and the node
		// would flood the table service.
		o.Nudge()
	}
}
