package proxy_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"damaskreach/internal/kinds"
	"damaskreach/internal/route"
)

// resumableRoute is a route of resumable streams.
func resumableRoute() route.Route {
	return route.Route{Kind: kinds.Stream, Resumable: true, Attempts: 2, Target: time.Second, Gap: 250 * time.Millisecond}
}

// All hosts die with their streams while more is asked for than engines can run, and callers come back with what they have. Asked for as late, these streams would
// wait behind all requests that can be on time, and none of them would go on. They go before new ones of their route, and behind what is more urgent.
func TestStreamsThatAreTakenUpGoBeforeNewOnesOfTheirRoute(t *testing.T) {
	rt := resumableRoute()
	rt.Priority = 3
	b := newBench(t, rt)
	b.add("one", map[string]int{"m/a": 1})
	b.add("two", map[string]int{"m/a": 1})
	for _, c := range []struct {
		last     string
		priority int
	}{{"", 3}, {"7", 2}} {
		b.loads = nil
		b.setAnswers(answers(http.StatusOK, nil, "id: 8\ndata: x\n\n", nil))
		b.call(http.Header{"M": {"m"}, "A": {"m/a"}, headLastEvent: {c.last}})
		if got := b.loads[0]; got.Priority != c.priority || got.TimeLeft <= 0 || got.TimeLeft > rt.Target {
			t.Errorf("last event %q: asked with priority %d and %v left, want %d and some of %v", c.last, got.Priority, got.TimeLeft, c.priority, rt.Target)
		}
	}
}

// An engine dies during a stream. The rest of the stream is due within the longest pause, not within the target for first events.
func TestCutStreamIsDueWithinItsLongestPause(t *testing.T) {
	b := newBench(t, resumableRoute())
	b.add("one", map[string]int{"m/a": 1})
	b.add("two", map[string]int{"m/a": 1})
	b.setAnswers(
		answers(http.StatusOK, nil, "id: 1\ndata: x\n\nid: 2\nda", errors.New("reset")),
		answers(http.StatusOK, nil, "id: 2\ndata: y\n\n", nil),
	)
	b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
	last := b.loads[len(b.loads)-1]
	if got, limit := last.TimeLeft, 250*time.Millisecond; got <= 0 || got > limit {
		t.Errorf("patience of the rest = %v, want some, at most %v", got, limit)
	}
}

// After the loss of a host, all its callers return, and the queue of a popular adapter's engine is longer than a load takes. A
// request that is late anyway waits there: a replica would take bandwidth of the weight store from adapters that no engine
// holds.
func TestLateStreamLoadsNoReplica(t *testing.T) {
	for last, want := range map[string]string{"": "two:1", "7": "one:1"} {
		b := newBench(t, resumableRoute())
		b.add("one", map[string]int{"m/a": 1})
		b.turnWaits = map[string]time.Duration{"one": 900 * time.Millisecond}
		b.setAnswers(answers(http.StatusOK, nil, "id: 8\ndata: x\n\n", nil))
		b.call(http.Header{"M": {"m"}, "A": {"m/a"}, headLastEvent: {last}})
		if got := b.sent[0].addr; got != want {
			t.Errorf("last event %q: sent to %s, want %s", last, got, want)
		}
	}
}
