package owner

import (
	"context"
	"time"

	"damaskreach/internal/report"
)

// poll requests a runner's report, one at a time. A plain service has none, and its state is known from its answers only.
func (o *Owner) poll(h *held) {
	if h.asking || h.plain {
		return
	}
	h.asking = true
	go func() {
		ctx, cancel := context.WithTimeout(o.ctx, engineTimeout)
		defer cancel()
		r, err := h.engine.Report(ctx)
		_ = o.Loop.Post(func() { o.reported(h, r, err) })
	}()
}

func (o *Owner) reported(h *held, r report.Report, err error) {
	h.asking = false
	if err != nil {
		h.failures++
		h.steady = time.Time{}
		return
	}
	h.failures = 0
	now := time.Now()
	o.settleLate(h, now)
	o.checkFormers(h, now, r)
	o.showFence(h, now, r)
	o.carry(h, h.sched.Report(now, r))
}
