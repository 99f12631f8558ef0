package owner

import (
	"time"

	"damaskreach/pkg/verd"
)

// answered notes whether an unload may still be on its way after its order has ended. One without an answer may arrive
// later, under this owner's own fence, and a request on the model loaded again would lose it under way.
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

// settleLate lets models be used again whose unloads cannot arrive any more: the engine has reported without a gap for as
// long as reports may lag since the order was given up, so nothing between here and there holds it up.
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

// inherit treats what earlier owners announced as this owner's own late unloads once none of them can send anything more.
func (h *held) inherit(now time.Time) {
	for _, model := range h.barred {
		h.late[model] = now
	}
	h.barred = nil
}
