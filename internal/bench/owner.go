package bench

import (
	"errors"
	"fmt"
	"time"

	"damaskreach/internal/loads"
	"damaskreach/internal/order"
	"damaskreach/internal/permit"
	"damaskreach/internal/report"
	"damaskreach/internal/sched"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	unloadTime = 5 * time.Millisecond
	reportLag  = time.Second
	dialTime   = time.Millisecond // to find out that an engine is down
)

var errLoad = errors.New("load failed")

// owner drives the scheduler of one runner as a node would.
type owner struct {
	run     *run
	sched   *sched.Sched
	engine  *engine
	pending map[string]*request // by attempt, submitted and not settled
	number  int64
	dirty   bool
	full    bool            // as the last digest said
	ahead   map[string]bool // models whose load waits for its permit and was ordered before any request
}

func newOwner(r *run, e *engine) *owner {
	o := &owner{run: r, engine: e, pending: map[string]*request{}, ahead: map[string]bool{}}
	o.sched = sched.NewVariant(e.runner, r.tune, r.policy)
	return o
}

// submit takes an attempt in.
func (o *owner) submit(r *request) {
	o.pending[r.call.Attempt] = r
	o.apply(o.sched.Submit(o.run.Clock(), r.call))
	if o.ahead[r.model] {
		o.ask(r.model, loads.Urgency(o.sched.Urgency(o.run.Clock(), r.model)))
	}
}

// apply carries orders out.
func (o *owner) apply(orders []order.Order) {
	o.dirty = o.dirty || len(orders) > 0
	for _, d := range orders {
		switch d.Kind {
		case order.Start:
			o.start(o.pending[d.Attempt])
		case order.Refuse:
			o.refuse(o.pending[d.Attempt], d.Refusal)
		case order.Load:
			o.load(d)
		case order.Unload:
			o.unload(d.Model)
		}
	}
	o.relieve()
}

// relieve publishes at once when a full queue has a place again.
func (o *owner) relieve() {
	if o.full && !o.sched.QueueFull() {
		o.publish()
	}
}

// start sends an attempt to the engine, which answers with an error where it is down or lacks the model.
func (o *owner) start(r *request) {
	r.stall += o.stalled(r)
	_, has := o.engine.resident[r.model]
	if !o.engine.up || r.model != "" && !has {
		attempt := r.call.Attempt
		o.run.After(dialTime, func() {
			o.finish(attempt, 0)
			o.settle(r, refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "the engine is down"))
		})
		return
	}
	attempt := r.call.Attempt
	o.engine.join(&job{req: r, left: r.tokens, done: func(tokens int, cut bool) {
		o.finish(attempt, tokens)
		if cut {
			o.settle(r, refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "the engine restarted"))
			return
		}
		o.settle(r, nil)
	}})
}

// stalled returns how long an attempt waited for its model.
func (o *owner) stalled(r *request) time.Duration {
	if r.model == "" {
		return 0
	}
	since, has := o.engine.resident[r.model]
	if !has {
		since = o.run.Now()
	}
	return max(0, since-r.sent)
}

func (o *owner) finish(attempt string, tokens int) {
	o.dirty = true
	o.apply(o.sched.Finish(o.run.Clock(), attempt, tokens))
}

func (o *owner) refuse(r *request, why *refuse.Refusal) {
	r.stall += o.stalled(r)
	o.settle(r, why)
}

// settle reports the end of an attempt to its home.
func (o *owner) settle(r *request, why *refuse.Refusal) {
	delete(o.pending, r.call.Attempt)
	attempt := r.call.Attempt
	o.run.After(hop, func() { o.run.homes[r.home].settle(r, attempt, why) })
}

// load asks for a permit.
func (o *owner) load(d order.Order) {
	o.ahead[d.Model] = d.Why.Waiting == 0
	o.ask(d.Model, loads.Urgency(d.Why))
}

func (o *owner) ask(model string, urgency float64) {
	s := o.run.store
	s.grant(s.loads.Request(o.run.Clock(), "node", o.engine.runner.Name, model, urgency))
}

// permitted runs a load.
func (o *owner) permitted(p permit.Permit) {
	delete(o.ahead, p.Model)
	o.run.stats.loads++
	takes, fails := o.run.store.load()
	if !o.engine.up {
		takes, fails = dialTime, true
	}
	boot := o.engine.boot
	o.run.After(takes, func() { o.loaded(p.Model, fails || boot != o.engine.boot) })
}

// loaded ends a load.
func (o *owner) loaded(model string, failed bool) {
	s := o.run.store
	s.grant(s.loads.Release(o.run.Clock(), o.engine.runner.Name, model))
	if failed {
		o.apply(o.sched.Loaded(o.run.Clock(), model, errLoad))
		return
	}
	o.engine.resident[model] = o.run.Now()
	if len(o.engine.resident) > o.engine.runner.Slots {
		o.run.stats.broken++
	}
	o.apply(o.sched.Loaded(o.run.Clock(), model, nil))
}

// unload takes a model out; one in use would break answers, which is counted.
func (o *owner) unload(model string) {
	for _, j := range append(o.engine.jobs, o.engine.joining...) {
		if j.req.model == model {
			o.run.stats.broken++
		}
	}
	delete(o.engine.resident, model)
	o.run.After(unloadTime, func() { o.apply(o.sched.Unloaded(o.run.Clock(), model, nil)) })
}

// report tells the scheduler what the engine said a moment ago.
func (o *owner) report() {
	if !o.engine.up {
		return
	}
	rep := report.Report{
		At:    o.run.Clock(),
		Boot:  fmt.Sprint(o.engine.boot),
		Slots: o.engine.runner.Slots,
		Batch: o.engine.runner.Batch,
	}
	for _, j := range o.engine.jobs {
		if rep.Running == nil {
			rep.Running = map[string]int{}
		}
		rep.Running[j.req.model]++
	}
	for model := range o.engine.resident {
		rep.Resident = append(rep.Resident, model)
	}
	o.run.After(reportLag, func() { o.apply(o.sched.Report(o.run.Clock(), rep)) })
}

// publish tells the homes of a changed load.
func (o *owner) publish() {
	if !o.dirty {
		return
	}
	o.dirty = false
	o.full = o.sched.QueueFull()
	o.number++
	d := o.sched.Digest(o.run.Clock())
	d.Number = o.number
	o.run.After(hop, func() {
		for _, h := range o.run.homes {
			h.place.UpdateDigest(o.run.Clock(), d)
		}
	})
}
