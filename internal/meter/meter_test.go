package meter_test

import (
	"fmt"
	"regexp"
	"runtime"
	"strings"
	"testing"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/meter"
	"damaskreach/internal/reason"
	"damaskreach/internal/timing"
	"damaskreach/internal/tune"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// The targets are 0.41 s and 35 ms for 95 in 100, and operators may change them. Read off buckets, the share that met
// them would be a guess between two bounds.
func TestAnswersBeyondTheTargetsAreCounted(t *testing.T) {
	m := meter.NewMeter()
	target := tune.Default()
	m.Targets = func() tune.Tune { return target }
	c := call.Call{Tenant: "parish", Class: "urgent"}
	answer := func(first, gap time.Duration) {
		start := time.Now()
		m.Answered(c, timing.Timing{Start: start, First: start.Add(first), End: start.Add(first + 3*gap), Count: 4}, nil)
	}
	answer(410*time.Millisecond, 35*time.Millisecond)
	answer(411*time.Millisecond, 35*time.Millisecond)
	answer(410*time.Millisecond, 36*time.Millisecond)
	target.First = time.Second
	answer(900*time.Millisecond, 35*time.Millisecond)
	want(t, page(t, m),
		`damaskreach_class_first_tokens_late_total{class="urgent"} 1`,
		`damaskreach_tenant_tokens_slow_total{tenant="parish"} 1`,
	)
}

func page(t *testing.T, m *meter.Meter) string {
	t.Helper()
	var b strings.Builder
	if err := m.Write(&b); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

func want(t *testing.T, page string, lines ...string) {
	t.Helper()
	for _, line := range lines {
		if !strings.Contains(page, "\n"+line+"\n") {
			t.Errorf("got a page without %q:\n%s", line, page)
		}
	}
}

func TestPageHoldsWhatWasCounted(t *testing.T) {
	m := meter.NewMeter()
	start := time.Now()
	c := call.Call{Tenant: "parish", Class: "urgent", Adapter: "a"}
	m.Answered(c, timing.Timing{Start: start, First: start.Add(15 * time.Millisecond), End: start.Add(45 * time.Millisecond), Count: 4}, nil)
	m.Answered(c, timing.Timing{Start: start}, refuse.NewRefusal(verd.NotRun, refuse.Overloaded, "full"))
	m.Started(c, reason.Reason{Kind: "started", Wait: 5 * time.Second, Stall: 3 * time.Second})
	m.Decided(reason.Reason{Kind: "taken"})
	m.Gauge("revision", "highest revision", func() float64 { return 7 })
	want(t, page(t, m),
		`damaskreach_tenant_first_token_seconds_bucket{tenant="parish",le="0.01"} 0`,
		`damaskreach_tenant_first_token_seconds_bucket{tenant="parish",le="0.02"} 1`,
		`damaskreach_class_between_tokens_seconds_sum{class="urgent"} 0.01`,
		`damaskreach_class_load_stall_seconds_sum{class="urgent"} 3`,
		`damaskreach_adapter_queue_wait_seconds_sum{adapter="a"} 2`,
		`damaskreach_refusals_total{code="overloaded",verdict="not-run"} 1`,
		`damaskreach_takeovers_total 1`,
		`damaskreach_revision 7`,
	)
}

// Every adapter of a large table is asked for, and one of them often. With a series for each, the page would grow to
// megabytes and the node's memory with it; with the first ones kept for ever, operators would not see the busy one.
func TestSeriesStayBoundedAndTheBusiestIsShown(t *testing.T) {
	m := meter.NewMeter()
	for i := range 57000 {
		m.Started(call.Call{Tenant: fmt.Sprint("tenant-", i), Adapter: fmt.Sprint("adapter-", i)}, reason.Reason{Wait: time.Second})
		if i%10 == 0 {
			m.Started(call.Call{Tenant: "late", Adapter: "busy"}, reason.Reason{Wait: time.Second})
		}
	}
	got := page(t, m)
	counts := regexp.MustCompile(`(?m)^damaskreach_adapter_queue_wait_seconds_count\{adapter="([^"]*)"\} (\d+)$`).FindAllStringSubmatch(got, -1)
	if len(counts) > 33 {
		t.Errorf("got %d series of adapters, want at most 33", len(counts))
	}
	total := 0
	for _, c := range counts {
		n := 0
		fmt.Sscan(c[2], &n)
		total += n
	}
	if total != 57000+5700 {
		t.Errorf("got %d requests over all series, want %d", total, 57000+5700)
	}
	if !strings.Contains(got, `adapter="busy"`) || !strings.Contains(got, `tenant="late"`) {
		t.Errorf("the busiest adapter and tenant have no series of their own")
	}
	if len(got) > 300<<10 {
		t.Errorf("got a page of %d bytes, want at most 300 KB", len(got))
	}
}

// A tenant chooses its class freely. A quote or line end in it must not break the page, which would cost operators all
// metrics of the node.
func TestNamesAreEscaped(t *testing.T) {
	m := meter.NewMeter()
	m.Started(call.Call{Class: "a\"b\n\\c"}, reason.Reason{})
	want(t, page(t, m), `damaskreach_class_load_stall_seconds_count{class="a\"b\n\\c"} 1`)
}

// BenchmarkMemory measures the bytes that a full meter keeps.
func BenchmarkMemory(b *testing.B) {
	var kept []*meter.Meter
	before := heap()
	for range b.N {
		m := meter.NewMeter()
		for i := range 1000 {
			name := fmt.Sprint("name-", i)
			m.Started(call.Call{Tenant: name, Class: name, Adapter: name}, reason.Reason{Wait: time.Second})
		}
		kept = append(kept, m)
	}
	b.ReportMetric(float64(heap()-before)/float64(b.N), "kept-B")
	runtime.KeepAlive(kept)
}
