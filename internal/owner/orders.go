package owner

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/assign"
	"damaskreach/internal/order"
	"damaskreach/internal/reason"
	"damaskreach/pkg/refuse"
)

// carry passes the decisions of a runner's scheduler to the goroutines that carry them out.
func (o *Owner) carry(h *held, orders []order.Order) {
	o.news = o.news || len(orders) > 0
	for _, next := range orders {
		o.Note(next.Why, h.request(next.Attempt))
		switch next.Kind {
		case order.Start:
			if a := h.attempts[next.Attempt]; a != nil {
				o.Started(a.call, next.Why)
			}
			h.decide(next.Attempt, nil)
		case order.Refuse:
			h.decide(next.Attempt, next.Refusal)
		case order.Load:
			o.load(h, next)
		case order.Unload:
			o.unload(h, next.Model)
		}
	}
}

// request returns the request id of an attempt, which operators use to look it up.
func (h *held) request(attempt string) string {
	if a := h.attempts[attempt]; a != nil {
		return a.call.ID
	}
	return attempt
}

// decide tells a waiting attempt whether it starts or is refused; a nil refusal starts it.
func (h *held) decide(id string, refusal *refuse.Refusal) {
	a := h.attempts[id]
	if a == nil || a.started {
		return
	}
	a.started = true
	a.decided <- refusal
	if refusal != nil {
		delete(h.attempts, id)
	}
}

// errUnreachable fails a load before it requests a permit. An engine that does not answer would hold the weight store's only permit until the
// order times out, and the loads of all other runners would wait.
var errUnreachable = merry.New("owner: the engine does not answer")

func (o *Owner) load(h *held, next order.Order) {
	h.orders[next.Model] = true
	ordered := time.Now()
	reachable := h.failures == 0
	go func() {
		err := errUnreachable
		if reachable {
			err = o.sendLoad(h, next.Model, next.Why)
		}
		_ = o.Loop.Post(func() {
			delete(h.orders, next.Model)
			o.noteLoad(h, next.Model, time.Since(ordered), err)
			o.carry(h, h.sched.Loaded(time.Now(), next.Model, err))
			o.dropClosed()
		})
	}()
}

func (o *Owner) noteLoad(h *held, model string, took time.Duration, err error) {
	why := reason.Reason{Kind: reason.Loaded, Text: "the adapter is loaded", Model: model, Runner: h.spec.Name, Wait: took}
	if err != nil {
		why.Kind, why.Text = reason.LoadFailed, "loading the adapter failed: "+err.Error()
	}
	o.Note(why, "")
}

func (o *Owner) sendLoad(h *held, model string, why reason.Reason) error {
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	done, err := o.permit(ctx, h, why)
	if err != nil {
		return err
	}
	defer done()
	if err := o.mayAct(h); err != nil {
		return err
	}
	err = h.engine.Load(ctx, h.fence, model)
	if err != nil {
		o.Log.Warn("loading a model failed", zap.String("runner", h.spec.Name), zap.String("model", model), zap.Error(err))
	}
	return err
}

func (o *Owner) unload(h *held, model string) {
	h.orders[model] = true
	if !h.spec.Fences {
		h.unloads = append(h.unloads, model)
		o.writeNext(h)
		return
	}
	go func() {
		err := o.sendUnload(h, model)
		_ = o.Loop.Post(func() { o.unloaded(h, model, err) })
	}()
}

// writeNext starts the next write of a runner's ownership row: the announcement of an unload, or a change that waits.
func (o *Owner) writeNext(h *held) {
	if o.busy[h.spec.Name] || o.held[h.spec.Name] != h {
		return
	}
	switch {
	case len(h.unloads) > 0:
		o.announceUnload(h, h.unloads[0])
	case h.dirty:
		o.amend(h)
	}
}

// announceUnload writes the unload into the ownership row before it is sent to an engine that ignores fencing tokens.
// If ownership has changed the write fails and nothing is sent; if it changes later, the successor finds the announcement
// and starts nothing on the model until this node is known to have stopped.
func (o *Owner) announceUnload(h *held, model string) {
	h.unloads = h.unloads[1:]
	o.busy[h.spec.Name] = true
	row, rev := h.row.WithUnload(model), h.rev
	go func() {
		rev, err := o.writeRow(row, rev)
		if err != nil {
			_ = o.Loop.Post(func() {
				delete(o.busy, h.spec.Name)
				o.unsent(h, model, err)
			})
			return
		}
		_ = o.Loop.Post(func() { o.wrote(h, row, rev) })
		err = o.sendUnload(h, model)
		_ = o.Loop.Post(func() {
			delete(o.busy, h.spec.Name)
			o.unloaded(h, model, err)
		})
	}()
}

// unsent cancels an unload that could not be announced. The write may still take effect. The row then names an unload that is never sent, and a
// successor starts nothing on the model until this node is known to have stopped.
func (o *Owner) unsent(h *held, model string, err error) {
	delete(h.orders, model)
	o.Log.Warn("announcing an unload failed; the model stays", zap.String("runner", h.spec.Name), zap.String("model", model), zap.Error(err))
	o.carry(h, h.sched.UnloadUnsent(time.Now(), model))
	o.writeNext(h)
	o.dropClosed()
}

func (o *Owner) wrote(h *held, written assign.Assignment, rev int64) {
	h.rev = max(h.rev, rev)
	h.row.Unload = written.Unload
	if o.rows[written.Runner].rev < rev {
		o.rows[written.Runner] = seenRow{row: written, rev: rev}
	}
}

// amend writes the current row.
func (o *Owner) amend(h *held) {
	o.busy[h.spec.Name] = true
	h.dirty = false
	row, rev := h.row, h.rev
	go func() {
		rev, err := o.writeRow(row, rev)
		_ = o.Loop.Post(func() {
			delete(o.busy, h.spec.Name)
			if err != nil {
				h.dirty = true
				return
			}
			o.wrote(h, row, rev)
		})
	}()
}

func (o *Owner) sendUnload(h *held, model string) error {
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	if err := o.mayAct(h); err != nil {
		return err
	}
	o.Pause(BeforeUnload)
	return h.engine.Unload(ctx, h.fence, model)
}

func (o *Owner) unloaded(h *held, model string, err error) {
	delete(h.orders, model)
	h.answered(time.Now(), model, err)
	if err != nil {
		o.Log.Warn("unloading a model failed", zap.String("runner", h.spec.Name), zap.String("model", model), zap.Error(err))
	}
	o.carry(h, h.sched.Unloaded(time.Now(), model, err))
	o.writeNext(h)
	o.dropClosed()
}

// mayAct is the last check before anything is sent to a runner. An engine that checks fencing tokens rejects an old owner itself, so its owner may
// continue while the table service is down. For other engines the lease must be valid, which peers may extend.
func (o *Owner) mayAct(h *held) error {
	if h.spec.Fences || o.Lease.Holds(h.session) {
		return nil
	}
	return notOwner(h.spec.Name)
}

// lapsing reports whether this node's lease on a runner is about to end. Homes are told before, because a request sent here after that is refused
// until another node has taken over the runner.
func (o *Owner) lapsing(h *held) bool {
	return !h.spec.Fences && o.Lease.Left() < lapsingBefore
}
