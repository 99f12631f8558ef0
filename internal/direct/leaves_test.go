package direct_test

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

// Two engines begin to leave while an adapter is loaded there, and the request is refused though a third one would load it.
func TestEnginesThatLeaveCountAsNoFailedLoad(t *testing.T) {
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
			b.then(answers(http.StatusOK, nil, "id: 1\ndata: x\n\n", nil))
			if rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}}); rec.Code != http.StatusOK || loads != 3 {
				t.Errorf("status = %d after %d loads, want %d after 3", rec.Code, loads, http.StatusOK)
			}
		})
	}
}

// Loads fail at two engines that stay, and the request goes on to a third and a fourth in turn, while its caller waits for what will not come.
func TestTwoFailedLoadsAreEnough(t *testing.T) {
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

// drain has an upstream register that it leaves.
func (b *bench) drain(id string) {
	t := b.view.Targets[id]
	t.Draining = true
	b.view.Targets[id] = t
}

// The only engine leaves, which its registration does not say yet, and its host is asked again for as long as requests wait for an engine.
func TestEngineThatLeavesIsAskedOnceForALoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, streamRoute())
		delete(b.view.Targets, "two")
		loads, begun := 0, time.Now()
		b.Admit = func(context.Context, intent.Intent) error {
			loads++
			return intent.ErrDraining
		}
		rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
		if got := time.Since(begun); rec.Code != http.StatusServiceUnavailable || loads != 1 || got > 100*time.Millisecond {
			t.Errorf("status = %d after %d loads and %v, want %d after one and at most 100 ms", rec.Code, loads, got, http.StatusServiceUnavailable)
		}
	})
}

// The load for a request fails after seconds, and the engine that would be next has begun to leave meanwhile. A request sent
// there would be new work for an engine that must get none any more.
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

// An upstream begins to leave while the connection to it is opened. The booking goes to another one, since it has not run.
func TestUpstreamThatBeganToLeaveDuringADialIsNotUsed(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
	first := ""
	b.dial = func(addr string) {
		if first != "" {
			return
		}
		first = addr
		id := strings.TrimSuffix(addr, ":1")
		leaves := b.view.Targets[id]
		leaves.Draining = true
		b.view.Targets[id] = leaves
	}
	b.then(answers(200, nil, "done", nil))
	rec, _ := b.call(nil)
	if got, want := rec.Body.String(), "done"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
	if len(b.sent) != 1 || b.sent[0].addr == first {
		t.Errorf("sent to %v, want one other than %s", b.sent, first)
	}
}
