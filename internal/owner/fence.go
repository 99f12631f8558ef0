package owner

import (
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/reason"
	"damaskreach/internal/report"
)

// showFence orders a load of a model that is resident already, so that an engine that checks fencing tokens sees the token of this owner.
// Unloads wait for that, because only then does the engine reject orders of an earlier owner that may be paused. A start or another order
// would show the token too, but none is sent while every request waits for an unload, and all of them would time out. If the model has been
// unloaded meanwhile, the order is an ordinary load, for which it holds a permit. It counts as a load that a request waits for: otherwise a
// busy weight store would serve it after all other loads.
func (o *Owner) showFence(h *held, now time.Time, r report.Report) {
	if !h.spec.Fences || len(h.formers) == 0 || r.Fence >= h.fence {
		return
	}
	if len(r.Resident) == 0 || len(h.orders) > 0 || now.Sub(h.shown) <= o.ReportLag {
		return
	}
	h.shown = now
	model := r.Resident[0]
	why := reason.Reason{Kind: reason.Load, Text: "the engine has not seen the new owner's fence", Model: model, Runner: h.spec.Name, Fence: h.fence, Waiting: max(1, h.sched.Waiting())}
	h.orders[model] = true
	go func() {
		err := o.sendLoad(h, model, why)
		_ = o.Loop.Post(func() {
			delete(h.orders, model)
			o.dropClosed()
			o.Log.Info("showed an engine the new fence", zap.String("runner", h.spec.Name), zap.Int64("fence", h.fence), zap.Error(err))
		})
	}()
}
