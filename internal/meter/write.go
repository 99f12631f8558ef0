package meter

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"damaskreach/internal/prom"
	"damaskreach/internal/reason"
)

// Kinds of decisions that have a counter of their own, and the counter's name.
var counters = []struct{ kind, name, help string }{
	{reason.Loaded, "loads_total", "adapters loaded"},
	{reason.LoadFailed, "load_failures_total", "loads that failed"},
	{reason.Unload, "unloads_total", "unloads ordered"},
	{reason.Taken, "takeovers_total", "runners taken over"},
}

// Write writes everything in the text exposition format of Prometheus, in a fixed order.
func (m *Meter) Write(w io.Writer) error {
	gauges := m.readGauges()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := bufio.NewWriter(w)
	m.writeTimes(out, "first_token_seconds", "time from request to first piece of the answer", func(s *series) *prom.Times { return s.first })
	m.writeTimes(out, "between_tokens_seconds", "mean time between pieces of one answer", func(s *series) *prom.Times { return s.between })
	m.writeTimes(out, "queue_wait_seconds", "time at the owner before the start, without the load stall", func(s *series) *prom.Times { return s.wait })
	m.writeTimes(out, "load_stall_seconds", "time at the owner until the adapter was resident", func(s *series) *prom.Times { return s.stall })
	m.writeCounts(out, "first_tokens_late_total", "answers whose first piece came after the target first of the tune row", func(s *series) metrics.Counter { return s.late })
	m.writeCounts(out, "tokens_slow_total", "answers whose pieces came further apart than the target gap of the tune row", func(s *series) metrics.Counter { return s.slow })
	m.writeCounters(out)
	for i, g := range m.gauges {
		prom.Head(out, g.name, g.help, "gauge")
		fmt.Fprintf(out, "%s%s %s\n", prom.Prefix, g.name, prom.Float(gauges[i]))
	}
	return out.Flush()
}

// readGauges is called without the lock: gauges wait for the control goroutine, which may just be waiting to count.
// With the lock the node would stand still at the first scrape that meets a decision.
func (m *Meter) readGauges() []float64 {
	var values []float64
	for _, g := range m.gauges {
		values = append(values, g.read())
	}
	return values
}

func (m *Meter) writeTimes(out io.Writer, name, help string, pick func(s *series) *prom.Times) {
	for _, l := range m.labels {
		full := l.name + "_" + name
		prom.Head(out, full, help+", by "+l.name, "histogram")
		for _, value := range slices.Sorted(maps.Keys(l.series)) {
			pick(l.series[value]).Write(out, full, l.name+"="+prom.Quote(value))
		}
		pick(l.other).Write(out, full, l.name+"="+prom.Quote(other))
	}
}

func (m *Meter) writeCounts(out io.Writer, name, help string, pick func(s *series) metrics.Counter) {
	for _, l := range m.labels {
		full := l.name + "_" + name
		prom.Head(out, full, help+", by "+l.name, "counter")
		for _, value := range slices.Sorted(maps.Keys(l.series)) {
			fmt.Fprintf(out, "%s%s{%s=%s} %d\n", prom.Prefix, full, l.name, prom.Quote(value), pick(l.series[value]).Count())
		}
		fmt.Fprintf(out, "%s%s{%s=%s} %d\n", prom.Prefix, full, l.name, prom.Quote(other), pick(l.other).Count())
	}
}

func (m *Meter) writeCounters(out io.Writer) {
	prom.Head(out, "refusals_total", "answers other than whole ones, by code and verdict", "counter")
	keys := slices.SortedFunc(maps.Keys(m.refusals), func(a, b refusal) int {
		return strings.Compare(a.code+" "+a.verdict, b.code+" "+b.verdict)
	})
	for _, key := range keys {
		fmt.Fprintf(out, "%srefusals_total{code=%s,verdict=%s} %d\n", prom.Prefix, prom.Quote(key.code), prom.Quote(key.verdict), m.refusals[key].Count())
	}
	prom.Head(out, "decisions_total", "decisions by kind", "counter")
	for _, kind := range slices.Sorted(maps.Keys(m.kinds)) {
		fmt.Fprintf(out, "%sdecisions_total{kind=%s} %d\n", prom.Prefix, prom.Quote(kind), m.kinds[kind].Count())
	}
	for _, c := range counters {
		prom.Head(out, c.name, c.help, "counter")
		fmt.Fprintf(out, "%s%s %d\n", prom.Prefix, c.name, value(m.kinds[c.kind]))
	}
}

func value(c metrics.Counter) int64 {
	if c == nil {
		return 0
	}
	return c.Count()
}
