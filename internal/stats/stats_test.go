package stats_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damaskreach/internal/stats"
)

func page(t *testing.T, s *stats.Stats) string {
	t.Helper()
	var b strings.Builder
	if err := s.Write(&b); err != nil {
		t.Fatalf("Write: %v", err)
	}
	return b.String()
}

func TestPageHoldsWhatWasCounted(t *testing.T) {
	s := stats.NewStats()
	s.Add(stats.Requests, 2, "class", "stream", "code", "ok", "verdict", "ran")
	s.Time(stats.First, 150*time.Millisecond, "class", "stream")
	s.Gauge(stats.LeaseLeft, func() float64 { return 7.5 })
	got := page(t, s)
	for _, want := range []string{
		"# TYPE damaskreach_requests_total counter",
		`damaskreach_requests_total{class="stream",code="ok",verdict="ran"} 2`,
		`damaskreach_request_first_seconds_bucket{class="stream",le="0.1"} 0`,
		`damaskreach_request_first_seconds_bucket{class="stream",le="0.2"} 1`,
		`damaskreach_request_first_seconds_sum{class="stream"} 0.15`,
		`damaskreach_lease_left_seconds 7.5`,
	} {
		if !strings.Contains(got, want+"\n") {
			t.Errorf("page without %q:\n%s", want, got)
		}
	}
}

// Upstreams are replaced all through a long day and each new one has a name of its own. With a series for each, the page
// would grow until scrapers time out, and the host's memory with it.
func TestSeriesOfManyUpstreamsAreBounded(t *testing.T) {
	s := stats.NewStats()
	for i := range 50000 {
		s.Add(stats.Sends, 1, "upstream", fmt.Sprint("i-", i), "outcome", "ok")
	}
	got := page(t, s)
	if n := strings.Count(got, "damaskreach_sends_total{"); n > 1025 {
		t.Errorf("series = %d, want at most 1025", n)
	}
	if want := `damaskreach_sends_total{upstream="other",outcome="other"} 48976`; !strings.Contains(got, want) {
		t.Errorf("page without %q: sums over all series must hold", want)
	}
}

// Every metric that the host counts must be told apart by scrapers.
func TestEveryMetricIsExplained(t *testing.T) {
	s := stats.NewStats()
	for _, name := range []string{
		stats.Requests, stats.Sends, stats.Rejections, stats.Strays, stats.Breaks, stats.Connections, stats.Admits, stats.StoreFails, stats.Claims, stats.Renewals, stats.Orders,
		stats.Unloads, stats.Other, stats.Took, stats.First, stats.Turn, stats.Pause, stats.Store, stats.Loads, stats.LoadWaits,
		stats.Age, stats.LeaseLeft, stats.Engines, stats.Hosts, stats.Upstreams, stats.Dropped,
	} {
		s.Add(name, 1, "a", "b")
	}
	for line := range strings.Lines(page(t, s)) {
		if fields := strings.Fields(line); fields[0] == "#" && fields[1] == "HELP" && len(fields) < 4 {
			t.Errorf("no help: %s", line)
		}
	}
}
