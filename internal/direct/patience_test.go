package direct_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"damaskreach/internal/kinds"
	"damaskreach/internal/route"
)

// resumable is a route of streams that may be resumed.
func resumable() route.Route {
	return route.Route{Kind: kinds.Stream, Resumable: true, Attempts: 2, Target: time.Second, Gap: 250 * time.Millisecond}
}

// A host dies with all its streams, and their callers come back to others for the rest, beside those who ask for something new. What
// is left of a stream that has paused for a second is late whatever is done; it must not make others late as well.
func TestStreamsThatAreLateLetOthersGoFirst(t *testing.T) {
	b := newBench(t, resumable())
	b.add("one", map[string]int{"m/a": 1})
	b.add("two", map[string]int{"m/a": 1})
	for _, c := range []struct {
		last string
		late bool
	}{{"", false}, {"7", true}} {
		b.loads = nil
		b.then(answers(http.StatusOK, nil, "id: 8\ndata: x\n\n", nil))
		b.call(http.Header{"M": {"m"}, "A": {"m/a"}, headLast: {c.last}})
		if got := b.loads[0].TimeLeft == 0; got != c.late {
			t.Errorf("last event %q: asked as late = %v, want %v", c.last, got, c.late)
		}
	}
}

// An engine dies under a stream. The rest of it is on time if it comes within the longest pause, not within the goal for first events.
func TestCutStreamIsAsUrgentAsItsPause(t *testing.T) {
	b := newBench(t, resumable())
	b.add("one", map[string]int{"m/a": 1})
	b.add("two", map[string]int{"m/a": 1})
	b.then(
		answers(http.StatusOK, nil, "id: 1\ndata: x\n\nid: 2\nda", errors.New("reset")),
		answers(http.StatusOK, nil, "id: 2\ndata: y\n\n", nil),
	)
	b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
	last := b.loads[len(b.loads)-1]
	if got, most := last.TimeLeft, 250*time.Millisecond; got <= 0 || got > most {
		t.Errorf("patience of the rest = %v, want some, at most %v", got, most)
	}
}

// A popular adapter's engines have a longer queue than a load takes, since everybody comes back after a host's loss. A request that is
// late anyway waits for its turn there; one more copy would take the way from the weight store from adapters that no engine holds.
func TestLateStreamHasNoCopyLoaded(t *testing.T) {
	for last, want := range map[string]string{"": "two:1", "7": "one:1"} {
		b := newBench(t, resumable())
		b.add("one", map[string]int{"m/a": 1})
		b.waits = map[string]time.Duration{"one": 900 * time.Millisecond}
		b.then(answers(http.StatusOK, nil, "id: 8\ndata: x\n\n", nil))
		b.call(http.Header{"M": {"m"}, "A": {"m/a"}, headLast: {last}})
		if got := b.sent[0].addr; got != want {
			t.Errorf("last event %q: sent to %s, want %s", last, got, want)
		}
	}
}
