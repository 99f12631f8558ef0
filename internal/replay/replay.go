// Package replay plays a trace against a whole site: nodes, stand-in engines and weight store, over a network in memory.
//
// Package bench runs the decision packages alone. What lies between decisions and callers, late digests, messages,
// leases and takeovers included, shows here. It belongs in a synctest bubble: a trace takes its virtual time.
package replay

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"damaskreach/internal/catlog"
	"damaskreach/internal/node"
	"damaskreach/internal/policy"
	"damaskreach/internal/rows"
	"damaskreach/internal/stand/plain"
	"damaskreach/internal/stand/site"
	"damaskreach/internal/stand/wstore"
	"damaskreach/internal/table"
	"damaskreach/internal/trace"
	"damaskreach/internal/tune"
)

const (
	nodes    = 7
	adapters = 3000
	stagger  = 300 * time.Millisecond // between the starts of nodes
	settle   = 30 * time.Second       // for every runner to get an owner
	lastWait = 3 * time.Minute        // after the last arrival
	ending   = time.Hour              // for closed connections and unanswered calls
)

// Costs of an engine and of the store, as package bench has them.
const (
	stepBase    = 14800 * time.Microsecond // without the first adapter
	stepRequest = 600 * time.Microsecond
	stepAdapter = 1200 * time.Microsecond
	prefill     = 50 * time.Millisecond
	reportLag   = time.Second
	loadTime    = 300 * time.Millisecond
	modelSize   = 1 << 29 // bytes
)

// replay is a site under a trace.
type replay struct {
	site  *site.Site
	store *wstore.Store
	trace *trace.Trace
	stats stats
}

// Run plays a trace against a site whose nodes follow a policy, and returns its figures.
func Run(tr *trace.Trace, p policy.Policy, t tune.Tune) (Result, error) {
	r := newReplay(tr, p)
	ctx, cancel := context.WithCancel(context.Background())
	defer time.Sleep(ending)
	defer cancel()
	if err := r.start(ctx, t); err != nil {
		return Result{}, err
	}
	r.play(ctx)
	return r.result(p.Name), nil
}

func newReplay(tr *trace.Trace, p policy.Policy) *replay {
	r := &replay{trace: tr, store: wstore.NewStore()}
	r.stats.result.Refused = map[string]int{}
	r.store.Speed = modelSize / loadTime.Seconds()
	engines := 0
	for _, row := range tr.Runners {
		if row.Slots > 0 {
			engines++
		}
	}
	r.site = site.NewSite(1, engines)
	r.site.Prepare = func(n *node.Node) { n.Policy = p }
	for range len(tr.Runners) - engines {
		r.site.Plains = append(r.site.Plains, plain.NewService())
	}
	for i, e := range r.site.Engines {
		e.Slots, e.Batch = tr.Runners[i].Slots, tr.Runners[i].Batch
		e.Step, e.PerRequest, e.PerAdapter, e.Prefill = stepBase, stepRequest, stepAdapter, prefill
		e.Lag = reportLag
		e.Fetch = r.store.Load
		e.Length = length
	}
	return r
}

func (r *replay) start(ctx context.Context, t tune.Tune) error {
	if err := r.site.Start(ctx, adapters); err != nil {
		return err
	}
	options, err := json.Marshal(t)
	if err != nil {
		return err
	}
	if _, err := r.site.DB.Table().Write(ctx, rows.Row{Key: table.PrefixConf + catlog.KindTune, Value: options}); err != nil {
		return err
	}
	for i := range nodes {
		r.site.StartNode(ctx, i)
		time.Sleep(stagger)
	}
	time.Sleep(settle)
	return nil
}

// play sends the trace's requests at their times and lets its faults happen.
func (r *replay) play(ctx context.Context) {
	begin := time.Now()
	for _, f := range r.trace.Faults {
		time.AfterFunc(f.At, func() { r.fault(f.Kind, f.Runner, f.Share, f.Lasts) })
	}
	var all sync.WaitGroup
	for n, a := range r.trace.Arrivals {
		time.Sleep(time.Until(begin.Add(a.At)))
		all.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, lastWait)
			defer cancel()
			r.ask(ctx, demand{number: n, call: a.Call, within: a.Within, tokens: a.Tokens})
		})
	}
	all.Wait()
}

func (r *replay) fault(kind, name string, share float64, lasts time.Duration) {
	switch kind {
	case trace.Restart:
		for i, row := range r.trace.Runners {
			if row.Name == name {
				r.site.Engines[i].Restart = lasts
				r.site.Engines[i].Crash()
			}
		}
	case trace.Slow:
		r.store.Slow(1 / share)
		time.AfterFunc(lasts, func() { r.store.Slow(1) })
	case trace.Failing:
		r.store.FailLoads(int(share * lasts.Seconds()))
	}
}

// adapterName returns the site's name for an adapter of a trace, which ends in its number.
func adapterName(name string) string {
	var number int
	_, _ = fmt.Sscanf(name, "a%d", &number) // 0 for a call of a plain service, which names none
	return site.AdapterName(number)
}
