package meter

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// bounds are the upper bounds of the buckets; one more takes what is longer.
var bounds = []time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
}

// times is a histogram of times.
type times struct {
	buckets []metrics.Counter // not cumulative
	sum     metrics.Counter   // nanoseconds
}

func newTimes() *times {
	t := &times{sum: metrics.NewCounter()}
	for range len(bounds) + 1 {
		t.buckets = append(t.buckets, metrics.NewCounter())
	}
	return t
}

func (t *times) add(d time.Duration) {
	d = max(0, d)
	at := 0
	for at < len(bounds) && d > bounds[at] {
		at++
	}
	t.buckets[at].Inc(1)
	t.sum.Inc(int64(d))
}

func (t *times) merge(more *times) {
	for i, b := range more.buckets {
		t.buckets[i].Inc(b.Count())
	}
	t.sum.Inc(more.sum.Count())
}
