package prom

import (
	"fmt"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
)

// bounds are the upper bounds of the buckets; one more takes what is longer.
var bounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

// Times is a histogram of times. It may be used from several goroutines.
type Times struct {
	buckets []metrics.Counter // not cumulative
	sum     metrics.Counter   // nanoseconds
}

// NewTimes returns a histogram that has counted nothing.
func NewTimes() *Times {
	t := &Times{sum: metrics.NewCounter()}
	for range len(bounds) + 1 {
		t.buckets = append(t.buckets, metrics.NewCounter())
	}
	return t
}

// Add counts one time.
func (t *Times) Add(d time.Duration) {
	d = max(0, d)
	at := 0
	for at < len(bounds) && d > bounds[at] {
		at++
	}
	t.buckets[at].Inc(1)
	t.sum.Inc(int64(d))
}

// Merge adds what another histogram has counted.
func (t *Times) Merge(more *Times) {
	for i, b := range more.buckets {
		t.buckets[i].Inc(b.Count())
	}
	t.sum.Inc(more.sum.Count())
}

// Write writes the histogram with its labels, as `name="value",…` without braces. One that counted nothing is left out.
func (t *Times) Write(out io.Writer, name, labels string) {
	count := int64(0)
	for _, b := range t.buckets {
		count += b.Count()
	}
	if count == 0 {
		return
	}
	below := int64(0)
	for i, bound := range bounds {
		below += t.buckets[i].Count()
		fmt.Fprintf(out, "%s%s_bucket{%s,le=%q} %d\n", Prefix, name, labels, Float(bound.Seconds()), below)
	}
	fmt.Fprintf(out, "%s%s_bucket{%s,le=\"+Inf\"} %d\n", Prefix, name, labels, count)
	fmt.Fprintf(out, "%s%s_sum{%s} %s\n", Prefix, name, labels, Float(float64(t.sum.Count())/1e9))
	fmt.Fprintf(out, "%s%s_count{%s} %d\n", Prefix, name, labels, count)
}
