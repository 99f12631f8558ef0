// Package tally counts what an entry host does, for scrapers.
package tally

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/rcrowley/go-metrics"
)

// sample is how many of the latest values a histogram keeps.
const sample = 512

// Tally may be used from several goroutines.
type Tally struct {
	registry metrics.Registry
}

// NewTally returns a tally that has counted nothing.
func NewTally() *Tally {
	return &Tally{registry: metrics.NewRegistry()}
}

// Count takes the outcome of one request of a class: the code of its refusal or "ok", how long it took, and the time to
// the first byte of its answer, zero where there was none.
func (t *Tally) Count(class, code string, took, first time.Duration) {
	metrics.GetOrRegisterCounter("requests."+class+"."+code, t.registry).Inc(1)
	t.Time("took."+class, took)
	if first > 0 {
		t.Time("first."+class, first)
	}
}

// Time adds a duration to a histogram in milliseconds.
func (t *Tally) Time(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram(name, t.registry, metrics.NewUniformSample(sample)).Update(d.Milliseconds())
}

// Add adds to a counter.
func (t *Tally) Add(name string, n int64) {
	metrics.GetOrRegisterCounter(name, t.registry).Inc(n)
}

// Gauge adds a value that is read at each scrape.
func (t *Tally) Gauge(name string, read func() int64) {
	if err := t.registry.Register(name, metrics.NewFunctionalGauge(read)); err != nil {
		panic("tally: " + err.Error()) // two gauges of one name are a fault of this program
	}
}

// Write writes one line a value, sorted by name; times are in milliseconds.
func (t *Tally) Write(w io.Writer) error {
	var lines []string
	t.registry.Each(func(name string, v any) {
		switch m := v.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			q := m.Percentiles([]float64{0.5, 0.95, 0.99})
			lines = append(lines, fmt.Sprintf("%s.count %d", name, m.Count()), fmt.Sprintf("%s.p50 %.0f", name, q[0]),
				fmt.Sprintf("%s.p95 %.0f", name, q[1]), fmt.Sprintf("%s.p99 %.0f", name, q[2]))
		}
	})
	sort.Strings(lines)
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return err
		}
	}
	return nil
}
