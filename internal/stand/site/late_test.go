//go:build !race

package site_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"damaskreach/internal/engine"
	"damaskreach/internal/host"
	"damaskreach/internal/node"
	"damaskreach/internal/report"
	"damaskreach/internal/runner"
	"damaskreach/internal/stand/site"

	"github.com/ansel1/merry/v2"
)

const longAsked = 2000 // tokens; more than 15 seconds

// holdUp replaces both nodes by others that lose the unloads which lost picks: they do not reach their engine, and after
// a second the sender is told that the answer is lost. arrive delivers them. While silent is set engines do not report.
func (w *world) holdUp(silent *atomic.Bool, lost func(model string) bool) {
	w.Prepare = func(n *node.Node) {
		connect := n.Connect
		n.Connect = func(r runner.Runner) engine.Engine {
			e := connect(r)
			inner := e.Unload
			e.Unload = func(ctx context.Context, fence int64, model string) error {
				if lost(model) {
					w.pass(time.Second)
					return merry.New("the answer is lost")
				}
				return inner(ctx, fence, model)
			}
			ask := e.Report
			e.Report = func(ctx context.Context) (report.Report, error) {
				if silent.Load() {
					return report.Report{}, merry.New("the report is lost")
				}
				return ask(ctx)
			}
			return e
		}
	}
	for i := range 2 {
		w.kill(i)
	}
	for i := range 2 {
		w.start(i)
	}
	w.pass(quiet)
}

// arrive has an unload that was held up arrive at an engine.
func (w *world) arrive(i int, model string, fence int64) {
	body := `{"model":"` + model + `","fence":` + strconv.FormatInt(fence, 10) + `}`
	w.Engines[i].ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, engine.PathUnload, strings.NewReader(body)))
}

// version returns the model that adapter a is.
func version(a int) string {
	return site.AdapterName(a) + "@v1"
}

// An owner orders two unloads from an engine that ignores fences, one after the other. The first is held up in the network
// and has no answer when the second is announced; then the owner is paused past its lease. If its row named the second
// alone, or its successor took its word that nothing of it is left, requests would start on these models, the orders would
// arrive, and callers would see their answers end early.
func TestEveryUnansweredUnloadIsAnnounced(t *testing.T) {
	play(t, 2, 1, false, func(w *world) {
		var losing, silent atomic.Bool
		losing.Store(true)
		w.holdUp(&silent, func(model string) bool { return losing.Load() && model != version(0) })
		first := w.owners("at first", 0, 1)[site.RunnerName(0)]
		fence := w.fences(2)[site.RunnerName(0)]
		for _, a := range []int{1, 2} {
			w.Ask(w.ctx, first, "before", version(a), "short", 2)
		}
		for _, a := range []int{3, 4} {
			go w.Ask(w.ctx, first, "evicting", version(a), "short", 2)
		}
		w.pass(1500 * time.Millisecond) // the first unload is given up, the second announced
		w.freeze(first)
		w.Hosts.Set(host.Host{Addr: site.Host(first), State: host.Live})
		w.pass(lapse)
		losing.Store(false)
		answered := make(chan string, 2)
		for _, a := range []int{1, 2} {
			go func() { answered <- w.Ask(w.ctx, 1-first, "late", version(a), "long", longAsked) }()
		}
		w.thaw(first)
		w.pass(4 * time.Second) // the former owner has said that it has nothing left
		for _, a := range []int{1, 2} {
			w.arrive(0, version(a), fence)
		}
		for range 2 {
			if fault := <-answered; fault != "" {
				t.Errorf("a request on the successor: got %q, want a whole answer", fault)
			}
		}
		w.pass(quiet)
		w.serves("after the pause", 0, 1)
	})
}

// An unload is held up in the network; its owner is told that the answer is lost, repeats it and loads the model again for
// the next request. Then the first order arrives, under the fence that is still the owner's, and the engine obeys. The
// caller would see its answer end early. While the engine's reports are missing, the network may hold up more than those.
func TestUnloadWithoutAnswerHitsNoLaterLoad(t *testing.T) {
	for _, fences := range []bool{true, false} {
		for _, silence := range []time.Duration{0, 12 * time.Second} {
			t.Run(kind(fences)+", silent for "+silence.String(), func(t *testing.T) {
				play(t, 2, 1, fences, func(w *world) { w.loseUnload(silence) })
			})
		}
	}
}

func (w *world) loseUnload(silence time.Duration) {
	var losing, silent atomic.Bool
	lost := make(chan string, 1)
	w.holdUp(&silent, func(model string) bool {
		once := losing.CompareAndSwap(true, false)
		if once {
			lost <- model
		}
		return once
	})
	first := w.owners("at first", 0, 1)[site.RunnerName(0)]
	fence := w.fences(2)[site.RunnerName(0)]
	w.serves("before", first)
	losing.Store(true)
	go w.Ask(w.ctx, first, "evicting", version(0), "short", 2)
	held := <-lost
	silent.Store(silence > 0)
	w.pass(2 * time.Second) // it is given up and its repeat answered
	answered := make(chan string, 1)
	go func() { answered <- w.Ask(w.ctx, first, "again", held, "long", longAsked) }()
	w.pass(silence)
	silent.Store(false)
	w.pass(3 * time.Second)
	w.arrive(0, held, fence)
	if fault := <-answered; fault != "" {
		w.t.Errorf("the request after the repeat: got %q, want a whole answer", fault)
	}
	w.serves("after", 0, 1)
}
