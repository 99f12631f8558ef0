// Package meter counts and times what a node does, for scrapers.
//
// Its size does not depend on how many adapters, tenants or classes there are: each label keeps the busiest names and
// puts the rest under "other". Times go into histograms with fixed bounds and not into sampled ones: buckets of 1,300
// nodes can be added up, quantiles of samples cannot.
package meter

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"damaskreach/internal/call"
	"damaskreach/internal/reason"
	"damaskreach/internal/timing"
	"damaskreach/internal/tune"
	"damaskreach/pkg/refuse"
)

// Names kept of each label.
const (
	mostTenants  = 32
	mostClasses  = 16
	mostAdapters = 32
	mostKinds    = 64 // of decisions, and pairs of code and verdict
)

// Meter may be used from several goroutines.
type Meter struct {
	// Targets returns the options that name the targets of first tokens and gaps. It is set before the first count.
	Targets func() tune.Tune

	mu       sync.Mutex
	labels   []*label
	refusals map[refusal]metrics.Counter
	kinds    map[string]metrics.Counter
	gauges   []gauge
}

type refusal struct {
	code    string
	verdict string
}

// gauge is a value read when a scraper asks.
type gauge struct {
	name string
	help string
	read func() float64
}

// NewMeter returns a meter that has counted nothing yet.
func NewMeter() *Meter {
	return &Meter{
		Targets: tune.Default,
		labels: []*label{
			newLabel("tenant", mostTenants, func(c call.Call) string { return c.Tenant }),
			newLabel("class", mostClasses, func(c call.Call) string { return c.Class }),
			newLabel("adapter", mostAdapters, func(c call.Call) string { return c.Adapter }),
		},
		refusals: map[refusal]metrics.Counter{},
		kinds:    map[string]metrics.Counter{},
	}
}

// Gauge adds a value that is read at each scrape. It must be called before the first Write.
func (m *Meter) Gauge(name, help string, read func() float64) {
	m.gauges = append(m.gauges, gauge{name, help, read})
}

// Answered takes the outcome of a request at its entry; a nil refusal is a whole answer.
func (m *Meter) Answered(c call.Call, t timing.Timing, r *refuse.Refusal) {
	target := m.Targets()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.labels {
		l.of(c).answered(t, target)
	}
	if r != nil {
		m.refused(r)
	}
}

func (m *Meter) refused(r *refuse.Refusal) {
	key := refusal{r.Code, r.Verdict.String()}
	if m.refusals[key] == nil && len(m.refusals) >= mostKinds {
		key = refusal{other, r.Verdict.String()}
	}
	count(m.refusals, key)
}

// Started takes the times that an attempt waited at the owner of its runner, which the reason of its start holds.
func (m *Meter) Started(c call.Call, why reason.Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.labels {
		l.of(c).started(why.Wait-why.Stall, why.Stall)
	}
}

// Decided counts a decision by its kind.
func (m *Meter) Decided(why reason.Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kind := why.Kind
	if m.kinds[kind] == nil && len(m.kinds) >= mostKinds {
		kind = other
	}
	count(m.kinds, kind)
}

// Refusals returns how many requests were refused, by code.
func (m *Meter) Refusals() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := map[string]int64{}
	for key, c := range m.refusals {
		counts[key.code] += c.Count()
	}
	return counts
}

func count[K comparable](counters map[K]metrics.Counter, key K) {
	if counters[key] == nil {
		counters[key] = metrics.NewCounter()
	}
	counters[key].Inc(1)
}

// between returns the mean time between the pieces of an answer; zero where there were fewer than two.
func between(t timing.Timing) time.Duration {
	if t.Count < 2 {
		return 0
	}
	return t.End.Sub(t.First) / time.Duration(t.Count-1)
}
