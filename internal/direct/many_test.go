package direct_test

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

// newMany returns a bench with so many upstreams, of which one holds an adapter. All take what comes.
func newMany(upstreams int) *bench {
	b := newBench(nil, route.Route{Name: "r", Target: time.Second})
	for n := range upstreams {
		b.add(fmt.Sprint("u", n), nil)
	}
	b.add("u1", map[string]int{"m/a": 1})
	b.view = b.view.WithTargets(b.view.Targets)
	b.Admit = func(context.Context, intent.Intent) error { return nil }
	b.Do = func(context.Context, string, demand.Demand, http.Header, func() bool) (resp.Resp, error) {
		return answers(http.StatusOK, nil, "", nil)(sent{})
	}
	return b
}

// ask sends a request for an adapter.
func (b *bench) ask(adapter string) (status int) {
	r := httptest.NewRequest(http.MethodGet, "/p/x", nil)
	r.Host = "a.example"
	r.Header.Set("M", "m")
	r.Header.Set("A", adapter)
	w := httptest.NewRecorder()
	b.ServeHTTP(w, r)
	return w.Code
}

func BenchmarkHeldAdapter(b *testing.B) { benchmark(b, "m/a") }

func BenchmarkAdapterThatNobodyHolds(b *testing.B) { benchmark(b, "m/b") }

func benchmark(b *testing.B, adapter string) {
	for _, upstreams := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			many := newMany(upstreams)
			b.ReportAllocs()
			for b.Loop() {
				if got := many.ask(adapter); got != http.StatusOK {
					b.Fatalf("status = %d, want 200", got)
				}
			}
		})
	}
}

// A site has thousands of engines. Were each of them looked at whether an adapter could be loaded there, for each request that gets its turn at
// once, a host's cost would grow with the site.
func TestHeldAdapterLooksForNoOtherEngine(t *testing.T) {
	b := newMany(500)
	looks := 0
	b.Owner = func(string) bool {
		looks++
		return true
	}
	if got := b.ask("m/a"); got != http.StatusOK {
		t.Errorf("status = %d, want 200", got)
	}
	if most := 5; looks > most {
		t.Errorf("asked for the hosts of %d engines, want %d at most", looks, most)
	}
}
