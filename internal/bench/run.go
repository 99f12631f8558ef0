// Package bench runs the decision packages against a small model of engines and weight store in virtual time.
//
// It models what decides load stalls and batch efficiency, not a network. Equal arguments give equal results.
package bench

import (
	"hash/fnv"
	"time"

	"damaskreach/internal/agenda"
	"damaskreach/internal/permit"
	"damaskreach/internal/policy"
	"damaskreach/internal/trace"
	"damaskreach/internal/tune"
	"damaskreach/pkg/refuse"
)

const (
	tick     = 50 * time.Millisecond // of owners, with a digest where something changed
	reports  = time.Second           // between two reports of an engine
	lastWait = 3 * time.Minute       // after the last arrival
)

// run is one policy on one trace.
type run struct {
	*agenda.Queue
	policy policy.Policy
	tune   tune.Tune
	stats  *stats
	store  *store
	owners map[string]*owner
	order  []*owner
	homes  []*home
}

// Run returns the figures of a policy on a trace. The seed decides which loads fail.
func Run(tr *trace.Trace, p policy.Policy, t tune.Tune, seed uint64) Result {
	r := newRun(tr, p, t, seed)
	r.Every(tick, tr.Span+lastWait, r.tick)
	r.Every(reports, tr.Span+lastWait, r.report)
	for _, a := range tr.Arrivals {
		r.At(a.At, func() { r.arrive(r.request(a.At, a.Within, a.Tokens, a.Prompt, a.Rush, a.Call)) })
	}
	for _, f := range tr.Faults {
		r.At(f.At, func() { r.fault(f.Kind, f.Runner, f.Share, f.Lasts) })
	}
	r.Run(tr.Span + lastWait)
	return r.stats.result(p.Name)
}

func newRun(tr *trace.Trace, p policy.Policy, t tune.Tune, seed uint64) *run {
	r := &run{Queue: &agenda.Queue{}, policy: p, tune: t, stats: &stats{}, owners: map[string]*owner{}}
	r.store = newStore(r.Queue, p, seed)
	r.store.start = func(granted permit.Permit) { r.owners[granted.Runner].permitted(granted) }
	for _, row := range tr.Runners {
		o := newOwner(r, newEngine(r.Queue, r.stats, row))
		r.owners[row.Name] = o
		r.order = append(r.order, o)
	}
	for range homes {
		r.homes = append(r.homes, newHome(r))
	}
	r.start()
	return r
}

// start brings every owner up with an empty engine.
func (r *run) start() {
	for _, o := range r.order {
		o.report()
		o.dirty = true
		o.publish()
	}
}

func (r *run) tick() {
	for _, o := range r.order {
		o.apply(o.sched.Tick(r.Clock()))
		o.publish()
	}
}

func (r *run) report() {
	copies := map[string]map[string]int{}
	for _, o := range r.order {
		group := o.engine.runner.Group
		if copies[group] == nil {
			copies[group] = r.homes[0].place.Copies(group)
		}
		o.sched.SetCopies(copies[group])
		o.report()
	}
}

// fault lets one of the trace's faults happen.
func (r *run) fault(kind, name string, share float64, lasts time.Duration) {
	if kind == trace.Restart {
		r.owners[name].engine.crash(lasts)
		return
	}
	r.store.apply(kind, share, lasts)
}

// arrive gives a request to its home.
func (r *run) arrive(q *request) {
	key := q.model
	if key == "" {
		key = q.call.ID
	}
	sum := fnv.New32a()
	sum.Write([]byte(key))
	q.home = int(sum.Sum32() % homes)
	r.stats.arrived(q)
	r.homes[q.home].dispatch(q)
}

// answered ends a request with its whole answer.
func (r *run) answered(q *request) {
	q.over = true
	r.stats.answered(q, r.Now())
}

// refused ends a request without an answer.
func (r *run) refused(q *request, why *refuse.Refusal) {
	q.over = true
	r.stats.refused(q, why, r.fitting(q, why))
}
