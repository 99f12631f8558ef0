package direct_test

import (
	"net/http"
	"testing"
	"time"
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
