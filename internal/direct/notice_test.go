package direct_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/kinds"
	"damaskreach/internal/notice"
	"damaskreach/internal/route"
)

// An engine asks for rest, or says that it leaves, while a connection to it is opened for a request: that goes elsewhere, though it had chosen it.
func TestEngineThatAsksForRestDuringADialIsNotUsed(t *testing.T) {
	for name, n := range map[string]notice.Notice{"rest": {Rest: time.Second}, "leaving": {Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, streamRoute())
			b.dial = func(addr string) {
				if addr == "one:1" {
					b.Avoid.Hear(b.view.Targets["one"], n, time.Now())
				}
			}
			b.add("one", map[string]int{"m/a": 1})
			b.add("two", map[string]int{})
			b.then(answers(200, nil, "", nil))
			b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
			if got, want := b.sent[0].addr, "two:1"; got != want {
				t.Errorf("sent to %s, want %s", got, want)
			}
		})
	}
}

// The one upstream rests. Its callers are refused at once and come back when it takes requests again; sooner, they would be refused again.
func TestRefusalTellsTheEndOfTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, route.Route{Kind: kinds.Once})
		delete(b.view.Targets, "two")
		b.then(answers(503, http.Header{headNot: {"1"}, headRest: {"3s"}}, "", nil), answers(200, nil, "", nil))
		for _, want := range []string{"3.00", "2.00"} {
			rec, _ := b.call(nil)
			if got := rec.Header().Get("Retry-After"); got != want || rec.Code != http.StatusServiceUnavailable {
				t.Errorf("%d with Retry-After %q, want 503 with %q", rec.Code, got, want)
			}
			time.Sleep(time.Second)
		}
		if got, want := len(b.sent), 1; got != want {
			t.Errorf("%d sends within the rest, want %d", got, want)
		}
		time.Sleep(time.Second)
		if rec, _ := b.call(nil); rec.Code != http.StatusOK {
			t.Errorf("status after the rest = %d, want %d", rec.Code, http.StatusOK)
		}
	})
}
