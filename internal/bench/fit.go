package bench

import (
	"time"

	"damaskreach/internal/call"
	"damaskreach/pkg/refuse"
)

// request makes a request of an arrival.
func (r *run) request(at, within time.Duration, tokens int, prompt time.Duration, rush bool, c call.Call) *request {
	q := &request{call: c, tokens: tokens, prompt: prompt, rush: rush, arrived: at}
	if c.Adapter != "" {
		q.model = c.Model()
	}
	if within > 0 {
		q.deadline = at + within
		q.call.Deadline = r.Wall(q.deadline)
	}
	return q
}

// fitting reports whether a refusal was false: a runner could have served the request in time.
// It looks at the engines themselves and at the true length of the answer, which no policy knows.
func (r *run) fitting(q *request, why *refuse.Refusal) bool {
	for _, o := range r.order {
		if o.engine.runner.Group != q.call.Group || !o.engine.up {
			continue
		}
		switch why.Code {
		case refuse.NoUpstream:
			return true
		case refuse.Overloaded:
			if o.sched.Digest(r.Clock()).Waiting < r.tune.Queue || r.room(o, q) {
				return true
			}
		case refuse.Deadline:
			if r.makes(o, q) {
				return true
			}
		case refuse.LoadFailed, refuse.NoRoom:
			if r.room(o, q) {
				return true
			}
		}
	}
	return false
}

// room reports whether an engine has the model and a place in the batch.
func (r *run) room(o *owner, q *request) bool {
	_, has := o.engine.resident[q.model]
	return (has || q.model == "") && len(o.engine.jobs)+len(o.engine.joining) < o.engine.runner.Batch
}

// makes reports whether the request would meet its deadline on an engine with room that has the model,
// or that loads it first with the store idle.
func (r *run) makes(o *owner, q *request) bool {
	running := len(o.engine.jobs) + len(o.engine.joining)
	if running >= o.engine.runner.Batch {
		return false
	}
	wait := q.prompt + time.Duration(q.tokens)*stepTime(running+1, min(running+1, o.engine.runner.Slots))
	if !r.room(o, q) {

		wait += time.Duration(float64(loadTime)/r.store.speed) * time.Duration(1+r.store.loads.Waiting())
	}
	return r.Now()+wait <= q.deadline
}
