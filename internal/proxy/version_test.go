package proxy_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
)

// An adapter has two newer versions, one old and one new, and an engine still holds the version before both. That version's
// grace period ended long ago, though the newest version has just been configured.
func TestVersionBeforeThePreviousIsNotServed(t *testing.T) {
	for name, c := range map[string]struct {
		held  int
		older bool
	}{"the last": {2, true}, "the one before": {1, false}, "one that nobody told": {0, false}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, streamRoute())
			b.add("one", map[string]int{"m/a": c.held})
			b.view = b.view.WithVersion("m/a", 2, time.Now().Add(-10*time.Second)).WithVersion("m/a", 3, time.Now())
			b.setAnswers(answers(200, nil, "", nil))
			b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
			if got, want := b.sent[0].extra.Get(headVersion) == "", c.older; got != want {
				t.Errorf("sent for any version = %v, want %v", got, want)
			}
		})
	}
}

// An adapter gets a new version. For a while engines with the older one still serve, so that callers don't wait for the load;
// then the new version is required.
func TestNewVersionIsRequiredAfterItsGracePeriod(t *testing.T) {
	b := newBench(t, streamRoute())
	b.add("one", map[string]int{"m/a": 1})
	b.view = b.view.WithVersion("m/a", 2, time.Now())
	header := http.Header{"M": {"m"}, "A": {"m/a"}}
	b.setAnswers(answers(200, nil, "", nil))
	b.call(header)
	if got, want := b.sent[0].addr, "one:1"; got != want {
		t.Errorf("sent to %s, want %s, which holds the older version", got, want)
	}
	b.view.NamedAt["m/a"][2] = time.Now().Add(-time.Minute)
	b.setAnswers(answers(200, nil, "", nil))
	b.call(header)
	if got, want := b.sent[1].extra.Get(headVersion), "new"; got != want {
		t.Errorf("version required = %q, want %q", got, want)
	}
}

// A request waits for its turn at an engine with the older version until that version's grace period ends. It must then go to
// an engine that loads the newer version.
func TestWaitForAnOlderVersionEndsWithItsGracePeriod(t *testing.T) {
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
		b.setAnswers(answers(200, nil, "", nil))
		b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
		if got, want := b.sent[0].extra.Get(headVersion), "new"; got != want {
			t.Errorf("version required = %q, want %q", got, want)
		}
	})
}
