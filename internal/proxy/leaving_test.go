package proxy_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/intent"
	"damaskreach/internal/kinds"
	"damaskreach/internal/route"
)

// Two engines begin to leave while an adapter is loaded there. The request must not be refused while a third one could load it.
func TestLoadsAtLeavingEnginesAreNotFailures(t *testing.T) {
	for what, leave := range map[string]func(b *bench, id string) error{
		"as their hosts say": func(*bench, string) error {
			return intent.DecodeError(intent.EncodeError(merry.Wrap(intent.ErrDraining)))
		},
		"as they register, and their loads fail": func(b *bench, id string) error {
			b.drain(id)
			return intent.ErrLoadFailed
		},
		"as they register, and their loads are done": func(b *bench, id string) error {
			b.drain(id)
			return nil
		},
	} {
		t.Run(what, func(t *testing.T) {
			b := newBench(t, streamRoute())
			b.add("three", nil)
			loads := 0
			b.Admit = func(_ context.Context, w intent.Intent) error {
				if loads++; loads <= 2 {
					return leave(b, w.EngineID)
				}
				return nil
			}
			b.setAnswers(answers(http.StatusOK, nil, "id: 1\ndata: x\n\n", nil))
			if rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}}); rec.Code != http.StatusOK || loads != 3 {
				t.Errorf("status = %d after %d loads, want %d after 3", rec.Code, loads, http.StatusOK)
			}
		})
	}
}

// Loads fail at two engines that stay. Trying a third and a fourth would keep the caller waiting in vain.
func TestRequestIsRefusedAfterTwoFailedLoads(t *testing.T) {
	b := newBench(t, streamRoute())
	b.add("three", nil)
	b.add("four", nil)
	loads := 0
	b.Admit = func(context.Context, intent.Intent) error {
		loads++
		return intent.ErrLoadFailed
	}
	if rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}}); rec.Code != http.StatusServiceUnavailable || loads != 2 {
		t.Errorf("status = %d after %d loads, want %d after 2", rec.Code, loads, http.StatusServiceUnavailable)
	}
}

// drain marks an upstream's registration as draining.
func (b *bench) drain(id string) {
	t := b.view.Targets[id]
	t.Draining = true
	b.view.Targets[id] = t
}

// The only engine leaves, and its registration doesn't show it yet. Its host must not be asked again for as long as the request
// waits for an engine.
func TestEngineThatLeavesIsAskedOnceForALoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, streamRoute())
		delete(b.view.Targets, "two")
		loads, start := 0, time.Now()
		b.Admit = func(context.Context, intent.Intent) error {
			loads++
			return intent.ErrDraining
		}
		rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
		if got := time.Since(start); rec.Code != http.StatusServiceUnavailable || loads != 1 || got > 100*time.Millisecond {
			t.Errorf("status = %d after %d loads and %v, want %d after one and at most 100 ms", rec.Code, loads, got, http.StatusServiceUnavailable)
		}
	})
}

// The load for a request fails after seconds, and the next engine has begun to leave meanwhile. It must get no new work.
func TestEngineThatBeganToLeaveDuringALoadIsNotUsed(t *testing.T) {
	b := newBench(t, streamRoute())
	loads := 0
	b.Admit = func(_ context.Context, w intent.Intent) error {
		loads++
		if loads > 1 {
			t.Errorf("load asked of %s, want no other engine asked", w.EngineID)
			return nil
		}
		for id, other := range b.view.Targets {
			if id != w.EngineID {
				other.Draining = true
				b.view.Targets[id] = other
			}
		}
		return intent.ErrLoadFailed
	}
	rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
}

// An upstream begins to leave while the connection to it is opened. The booking has not run there, so it goes to another one.
func TestUpstreamThatBeganToLeaveDuringADialIsNotUsed(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
	first := ""
	b.dial = func(addr string) {
		if first != "" {
			return
		}
		first = addr
		id := strings.TrimSuffix(addr, ":1")
		leaving := b.view.Targets[id]
		leaving.Draining = true
		b.view.Targets[id] = leaving
	}
	b.setAnswers(answers(200, nil, "done", nil))
	rec, _ := b.call(nil)
	if got, want := rec.Body.String(), "done"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
	if len(b.sent) != 1 || b.sent[0].addr == first {
		t.Errorf("sent to %v, want one other than %s", b.sent, first)
	}
}
