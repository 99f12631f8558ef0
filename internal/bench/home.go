package bench

import (
	"fmt"
	"time"

	"damaskreach/internal/place"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	homes    = 7
	hop      = 500 * time.Microsecond // between two nodes
	attempts = 3                      // per request at the most
)

// home chooses runners for the models that hash to its node.
type home struct {
	run   *run
	place *place.Place
}

func newHome(r *run) *home {
	return &home{run: r, place: place.NewWithPolicy(r.tune, r.policy)}
}

// dispatch sends the next attempt of a request.
func (h *home) dispatch(r *request) {
	r.attempt++
	r.call = r.call.WithAttempt(fmt.Sprintf("%s-%d", r.call.ID, r.attempt))
	d, _, refusal := h.place.Choose(h.run.Clock(), r.call, r.avoid)
	if refusal != nil {
		h.run.refused(r, refusal)
		return
	}
	r.call = r.call.WithDemand(h.place.Demand(h.run.Clock(), r.call))
	r.runner = d.Runner
	r.sent = h.run.Now()
	h.run.After(hop, func() { h.run.owners[d.Runner].submit(r) })
}

// settle ends an attempt: it is the answer, or it is tried elsewhere where that is safe.
func (h *home) settle(r *request, attempt string, why *refuse.Refusal) {
	h.place.Settle(h.run.Clock(), r.call.WithAttempt(attempt), r.runner, why)
	switch {
	case why == nil:
		h.run.answered(r)
	case r.attempt < attempts && repeatable(r, why):
		r.avoid = append(r.avoid, r.runner)
		h.dispatch(r)
	default:
		h.run.refused(r, why)
	}
}

// repeatable reports whether another runner may try.
func repeatable(r *request, why *refuse.Refusal) bool {
	if why.Code == refuse.Deadline {
		return false
	}
	if why.Verdict == verd.NotRun {
		return true
	}
	return !r.call.NonIdempotent && r.first == 0
}
