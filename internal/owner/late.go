package owner

import (
	"time"

	"damaskreach/pkg/verd"
)

// answered records whether an unload may still take effect after its order has ended. One without an answer may be carried out later, as its
// fencing token is still valid, and would take away a model that has been loaded again under a request.
func (h *held) answered(now time.Time, model string, err error) {
	switch {
	case err == nil:
		h.row = h.row.WithUnload("")
	case verd.Of(err) == verd.NotRun:
		return
	default:
		h.late[model] = now
		h.sched.UnloadUnanswered(model)
		h.row = h.row.WithLate(model)
	}
	h.dirty = h.dirty || !h.spec.Fences
}

// settleLate allows the use of models whose unloads cannot take effect any more: since the order timed out, the engine has reported without a gap
// for as long as reports may lag, so the order is not delayed on the way.
func (o *Owner) settleLate(h *held, now time.Time) {
	if h.steady.IsZero() {
		h.steady = now
	}
	if now.Sub(h.steady) <= o.ReportLag {
		return
	}
	for model, since := range h.late {
		if now.Sub(since) <= o.ReportLag {
			continue
		}
		delete(h.late, model)
		h.row = h.row.WithoutLate(model)
		h.dirty = h.dirty || !h.spec.Fences
		o.carry(h, h.sched.Unblock(model))
	}
}

// inherit treats the unloads that earlier owners announced as late unloads of this owner, once no earlier owner can send anything.
func (h *held) inherit(now time.Time) {
	for _, model := range h.barred {
		h.late[model] = now
	}
	h.barred = nil
}
