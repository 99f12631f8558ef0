package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"damaskreach/internal/kinds"
	"damaskreach/internal/resp"
	"damaskreach/internal/route"
)

// takesBack returns a rejection behind which another answer comes; waits counts the waits for it.
func takesBack(status int, h http.Header, body string, waits *int) func(s sent) (resp.Resp, error) {
	return func(s sent) (resp.Resp, error) {
		r, err := answers(http.StatusServiceUnavailable, http.Header{headNotRun: {"1"}}, "", nil)(s)
		r.Later = func(time.Duration) (resp.Resp, bool) {
			*waits++
			later, err := answers(status, h, body, nil)(s)
			return later, err == nil
		}
		return r, err
	}
}

// An upstream rejects a booking and runs it all the same. The caller must get its answer, and no other upstream the booking: two trucks would come.
func TestBookingThatRunsBehindItsRejectionIsNotSentAgain(t *testing.T) {
	waits := 0
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1, Target: time.Second})
	b.setAnswers(takesBack(200, nil, "done", &waits), answers(200, nil, "again", nil))
	rec, _ := b.call(nil)
	if got, want := rec.Body.String(), "done"; got != want || len(b.sent) != 1 {
		t.Errorf("body = %q after %d sends, want %q after one", got, len(b.sent), want)
	}
	b.wantMetrics(`outcome="taken-back"} 1`)
}

// An upstream sends a rejection twice. It has not run the booking, so another upstream gets it.
func TestBookingRejectedTwiceGoesToAnotherUpstream(t *testing.T) {
	waits := 0
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1, Target: time.Second})
	b.setAnswers(takesBack(503, http.Header{headNotRun: {"1"}}, "", &waits), answers(200, nil, "done", nil))
	rec, _ := b.call(nil)
	if got, want := rec.Body.String(), "done"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}

// An upstream rejects a lookup. It may run twice, so that it must not wait before another upstream gets it.
func TestRejectedLookupDoesNotWait(t *testing.T) {
	waits := 0
	b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 2, Target: time.Second})
	b.setAnswers(takesBack(200, nil, "late", &waits), answers(200, nil, "done", nil))
	rec, _ := b.call(nil)
	if got, want := rec.Body.String(), "done"; got != want || waits != 0 {
		t.Errorf("body = %q after %d waits, want %q after none", got, waits, want)
	}
}
