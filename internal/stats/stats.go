// Package stats counts and times what an entry host does, for scrapers.
package stats

import (
	"bufio"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"damaskreach/internal/prom"
)

const (
	// mostSeries bounds the series of one metric; those of more upstreams, say, count together. A host with 150 upstreams and
	// four outcomes needs some 600, and a series of a counter takes about 100 bytes.
	mostSeries = 1024
	// other is the value of every label of the series that takes the rest.
	other = "other"
)

// Stats may be used from several goroutines. A nil one counts nothing.
type Stats struct {
	mu       sync.Mutex
	counters map[string]map[string]metrics.Counter // by name and labels
	times    map[string]map[string]*prom.Times
	gauges   map[string]map[string]func() float64
}

// NewStats returns one that has counted nothing.
func NewStats() *Stats {
	return &Stats{
		counters: map[string]map[string]metrics.Counter{}, times: map[string]map[string]*prom.Times{},
		gauges: map[string]map[string]func() float64{},
	}
}

// Add adds to a counter; labels are names and values in turn.
func (s *Stats) Add(name string, n int64, labels ...string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter(name, labels).Inc(n)
}

func (s *Stats) counter(name string, labels []string) metrics.Counter {
	return pick(s, s.counters, name, labels, func() metrics.Counter { return metrics.NewCounter() })
}

// Time adds to a histogram of times.
func (s *Stats) Time(name string, d time.Duration, labels ...string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	pick(s, s.times, name, labels, prom.NewTimes).Add(d)
}

// Gauge adds a value that is read at each scrape.
func (s *Stats) Gauge(name string, read func() float64, labels ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pick(s, s.gauges, name, labels, func() func() float64 { return read })
}

// pick returns the series with the given labels, a new one where there is none yet. Upstreams come and go through a day; without
// a bound the page and the host's memory would grow with each.
func pick[T any](s *Stats, of map[string]map[string]T, name string, labels []string, fresh func() T) T {
	if of[name] == nil {
		of[name] = map[string]T{}
	}
	key := join(labels)
	if v, ok := of[name][key]; ok {
		return v
	}
	if len(of[name]) >= mostSeries {
		s.counter(Other, []string{"metric", name}).Inc(1)
		key = join(rest(labels))
		if v, ok := of[name][key]; ok {
			return v
		}
	}
	of[name][key] = fresh()
	return of[name][key]
}

func join(labels []string) string {
	var b strings.Builder
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(labels[i])
		b.WriteByte('=')
		b.WriteString(prom.Quote(labels[i+1]))
	}
	return b.String()
}

// rest returns labels with every value replaced.
func rest(labels []string) []string {
	all := slices.Clone(labels)
	for i := 1; i < len(all); i += 2 {
		all[i] = other
	}
	return all
}

// Write writes all metrics, sorted by name.
func (s *Stats) Write(w io.Writer) error {
	gauges := s.read()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := bufio.NewWriter(w)
	for _, name := range slices.Sorted(maps.Keys(s.counters)) {
		prom.Head(out, name, help[name], "counter")
		for _, key := range slices.Sorted(maps.Keys(s.counters[name])) {
			line(out, name, key, float64(s.counters[name][key].Count()))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.times)) {
		prom.Head(out, name, help[name], "histogram")
		for _, key := range slices.Sorted(maps.Keys(s.times[name])) {
			s.times[name][key].Write(out, name, key)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(gauges)) {
		prom.Head(out, name, help[name], "gauge")
		for _, key := range slices.Sorted(maps.Keys(gauges[name])) {
			line(out, name, key, gauges[name][key])
		}
	}
	return out.Flush()
}

// read reads the gauges. They are read without the lock: one may wait for a goroutine that is about to count something.
func (s *Stats) read() map[string]map[string]float64 {
	s.mu.Lock()
	reads := map[string]map[string]func() float64{}
	for name, series := range s.gauges {
		reads[name] = maps.Clone(series)
	}
	s.mu.Unlock()
	values := map[string]map[string]float64{}
	for name, series := range reads {
		values[name] = map[string]float64{}
		for key, read := range series {
			values[name][key] = read()
		}
	}
	return values
}

func line(out io.StringWriter, name, labels string, value float64) {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	// A write to the buffer fails only as its flush does, which the caller is told.
	_, _ = out.WriteString(prom.Prefix + name + labels + " " + prom.Float(value) + "\n")
}
