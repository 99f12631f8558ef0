package owner

import (
	"context"
	"time"

	"damaskreach/internal/reason"
)

// permit waits for the load scheduler's permit. A load that no request waits for comes after all others. It is requested again as soon as a request
// needs its model; otherwise that request would wait longer than later ones for other models.
func (o *Owner) permit(ctx context.Context, h *held, why reason.Reason) (func(), error) {
	if why.Waiting > 0 {
		return o.Permit(ctx, h.spec, why)
	}
	patient, hurry := context.WithCancel(ctx)
	if err := o.Loop.Do(ctx, func() { h.wait(why.Model, hurry) }); err != nil {
		hurry()
		return nil, err
	}
	done, err := o.Permit(patient, h.spec, why)
	_ = o.Loop.Post(func() { delete(h.patient, why.Model) })
	if err == nil {
		return func() { done(); hurry() }, nil
	}
	hurried := patient.Err() != nil && ctx.Err() == nil
	hurry()
	if !hurried {
		return nil, err
	}
	why.Waiting = 1
	return o.Permit(ctx, h.spec, why)
}

// wait records how to raise the priority of a load, and does so at once if a request has come since it was ordered.
func (h *held) wait(model string, hurry func()) {
	h.patient[model] = hurry
	if h.sched.Urgency(time.Now(), model).Waiting > 0 {
		h.hurry(model)
	}
}

// hurry raises the priority of the load of a model that a request now waits for.
func (h *held) hurry(model string) {
	if hurry := h.patient[model]; hurry != nil {
		delete(h.patient, model)
		hurry()
	}
}
