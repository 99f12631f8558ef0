package proxy_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/intent"
	"damaskreach/internal/resp"
	"damaskreach/internal/route"
)

// newLargeBench returns a bench with the given number of upstreams, all idle, one of which holds an adapter.
func newLargeBench(upstreams int) *bench {
	b := newBench(nil, route.Route{Name: "r", Target: time.Second})
	for n := range upstreams {
		b.add(fmt.Sprint("u", n), nil)
	}
	b.add("u1", map[string]int{"m/a": 1})
	b.view = b.view.WithTargets(b.view.Targets)
	b.Admit = func(context.Context, intent.Intent) error { return nil }
	b.Send = func(context.Context, string, demand.Demand, func() http.Header, func() bool) (resp.Resp, error) {
		return answers(http.StatusOK, nil, "", nil)(sent{})
	}
	return b
}

// requestAdapter sends a request for an adapter.
func (b *bench) requestAdapter(adapter string) (status int) {
	r := httptest.NewRequest(http.MethodGet, "/p/x", nil)
	r.Host = "a.example"
	r.Header.Set("M", "m")
	r.Header.Set("A", adapter)
	w := httptest.NewRecorder()
	b.ServeHTTP(w, r)
	return w.Code
}

func BenchmarkHeldAdapter(b *testing.B) { benchmarkRequest(b, "m/a") }

func BenchmarkUnloadedAdapter(b *testing.B) { benchmarkRequest(b, "m/b") }

func benchmarkRequest(b *testing.B, adapter string) {
	for _, upstreams := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			many := newLargeBench(upstreams)
			b.ReportAllocs()
			for b.Loop() {
				if got := many.requestAdapter(adapter); got != http.StatusOK {
					b.Fatalf("status = %d, want 200", got)
				}
			}
		})
	}
}

// A request gets its turn at once at the engine that holds its adapter. If all engines of a site were checked for whether they
// could load it, a host's cost per request would grow with the site.
func TestRequestForALoadedAdapterChecksFewEngines(t *testing.T) {
	b := newLargeBench(500)
	checks := 0
	b.CanLoad = func(string) bool {
		checks++
		return true
	}
	if got := b.requestAdapter("m/a"); got != http.StatusOK {
		t.Errorf("status = %d, want 200", got)
	}
	if maxChecks := 5; checks > maxChecks {
		t.Errorf("checked %d engines, want %d at most", checks, maxChecks)
	}
}
