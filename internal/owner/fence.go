package owner

import (
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/reason"
	"damaskreach/internal/report"
)

// showFence orders a load of what is resident already, so that an engine that honours fences sees this owner's.
// Unloads are held back until it has: only then does it refuse an earlier owner that may be paused. A start or an order
// would do as well, but where each request waits for an unload none is sent, and they would all wait until their callers
// give up. Should the model be gone meanwhile, the order is an ordinary load, for which it has its permit; it counts as
// waited for, or a busy store would put it behind every other load.
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
