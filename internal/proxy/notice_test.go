package proxy_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/kinds"
	"damaskreach/internal/notice"
	"damaskreach/internal/route"
)

// An engine announces a pause, or that it leaves, while the connection for a request is opened. The request goes to another engine.
func TestEngineThatAsksForRestDuringADialIsNotUsed(t *testing.T) {
	for name, n := range map[string]notice.Notice{"rest": {Rest: time.Second}, "leaving": {Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, streamRoute())
			b.dial = func(addr string) {
				if addr == "one:1" {
					b.Avoid.Record(b.view.Targets["one"], n, time.Now())
				}
			}
			b.add("one", map[string]int{"m/a": 1})
			b.add("two", map[string]int{})
			b.setAnswers(answers(200, nil, "", nil))
			b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
			if got, want := b.sent[0].addr, "two:1"; got != want {
				t.Errorf("sent to %s, want %s", got, want)
			}
		})
	}
}

// The only upstream has asked for a pause. Its callers are refused at once and told to retry when the pause ends; any sooner
// they would be refused again.
func TestRefusalTellsTheEndOfTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, route.Route{Kind: kinds.Once})
		delete(b.view.Targets, "two")
		b.setAnswers(answers(503, http.Header{headNotRun: {"1"}, headPause: {"3s"}}, "", nil), answers(200, nil, "", nil))
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
