package direct_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
)

// Two versions of an adapter are named, one long ago and one just now, and an engine still holds the one before both, which nobody asked for in
// between. It has been out of force for long, though the newest version was named a moment ago.
func TestVersionBeforeTheLastIsOutOfForce(t *testing.T) {
	for name, c := range map[string]struct {
		held  int
		older bool
	}{"the last": {2, true}, "the one before": {1, false}, "one that nobody told": {0, false}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, streamRoute())
			b.add("one", map[string]int{"m/a": c.held})
			b.view = b.view.WithVersion("m/a", 2, time.Now().Add(-10*time.Second)).WithVersion("m/a", 3, time.Now())
			b.then(answers(200, nil, "", nil))
			b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
			if got, want := b.sent[0].extra.Get(headVer) == "", c.older; got != want {
				t.Errorf("sent for any version = %v, want %v", got, want)
			}
		})
	}
}

// A request for an adapter in a new version reaches an engine only once that holds it; for a while after the version was
// named, engines with the older one still serve, so that callers do not wait for the load.
func TestNewVersionIsLoadedAsideAndThenRequired(t *testing.T) {
	b := newBench(t, streamRoute())
	b.add("one", map[string]int{"m/a": 1})
	b.view = b.view.WithVersion("m/a", 2, time.Now())
	header := http.Header{"M": {"m"}, "A": {"m/a"}}
	b.then(answers(200, nil, "", nil))
	b.call(header)
	if got, want := b.sent[0].addr, "one:1"; got != want {
		t.Errorf("sent to %s, want %s, which holds the older version", got, want)
	}
	b.view.NamedAt["m/a"][2] = time.Now().Add(-time.Minute)
	b.then(answers(200, nil, "", nil))
	b.call(header)
	if got, want := b.sent[1].extra.Get(headVer), "new"; got != want {
		t.Errorf("version required = %q, want %q", got, want)
	}
}

// A request waits for its turn at an engine with the older version until that is out of force. Sent then, it would begin on
// the older version; it goes to an engine that has the newer one loaded instead.
func TestWaitForAnOlderVersionEndsWithItsGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, streamRoute())
		b.add("one", map[string]int{"m/a": 1})
		b.view = b.view.WithVersion("m/a", 2, time.Now())
		b.Admit = func(ctx context.Context, w intent.Intent) error {
			if w.Version == 0 {
				<-ctx.Done()
				return ctx.Err()
			}
			return nil
		}
		b.then(answers(200, nil, "", nil))
		b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
		if got, want := b.sent[0].extra.Get(headVer), "new"; got != want {
			t.Errorf("version required = %q, want %q", got, want)
		}
	})
}
