package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/assign"
	"damaskreach/internal/reason"
	"damaskreach/internal/rows"
)

// release releases a runner: it is closed to new starts before its row asks for a successor. In the opposite order, a successor could unload a model
// on which a request is being started.
func (o *Owner) release(h *held) {
	o.busy[h.spec.Name] = true
	row, rev := h.row.WithReleased(), h.rev
	o.giveUp(h, "the runner is handed over to another node")
	go func() {
		_, err := o.writeRow(row, rev)
		_ = o.Loop.Post(func() { o.released(row, err) })
	}()
}

// writeRow replaces an ownership row of this node, and returns its new revision.
func (o *Owner) writeRow(row assign.Assignment, rev int64) (int64, error) {
	ctx, cancel := context.WithTimeout(o.ctx, tableTimeout)
	defer cancel()
	edit := rows.Row{Key: assign.Key(o.Site, row.Runner), Rev: rev, Value: row.Encode()}
	written, err := o.Table.Write(ctx, edit)
	if err != nil {
		written, err = o.settle(ctx, row, err)
	}
	return written, err
}

func (o *Owner) released(row assign.Assignment, err error) {
	delete(o.busy, row.Runner)
	if err != nil {
		// The row still names this session. The next plan takes the runner over again under a new fencing token, or releases it.
		o.Log.Warn("handing a runner over failed", zap.String("runner", row.Runner), zap.Error(err))
	}
}

// giveUp closes a runner to new starts at once. Running requests continue to their end.
func (o *Owner) giveUp(h *held, why string) {
	now := time.Now()
	delete(o.held, h.spec.Name)
	o.closing = append(o.closing, h)
	h.dropUnloads()
	o.carry(h, h.sched.Close(now, why))
	o.Note(reason.Reason{Kind: reason.GivenUp, Text: why, Runner: h.spec.Name, Fence: h.fence, Running: h.sched.Running()}, "")
	o.Log.Info("gave a runner up", zap.String("runner", h.spec.Name), zap.Int64("fence", h.fence), zap.String("why", why))
	d := o.digest(now, h)
	d.Closed = true
	o.Changed(append(o.digests(now), d))
	o.dropClosed()
}

// dropUnloads drops unloads that were decided but not announced. They are never sent.
func (h *held) dropUnloads() {
	for _, model := range h.unloads {
		delete(h.orders, model)
	}
	h.unloads = nil
}

// dropLost releases runners held under a session that another node has ended.
func (o *Owner) dropLost(now time.Time) {
	me := o.Lease.Session().ID()
	for _, h := range o.held {
		if h.row.Session != me {
			o.giveUp(h, "this node's session was ended by others")
		}
	}
	o.dropClosed()
}
