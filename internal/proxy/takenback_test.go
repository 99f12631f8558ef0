package proxy_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"damaskreach/internal/kinds"
	"damaskreach/internal/resp"
	"damaskreach/internal/route"
	"damaskreach/pkg/verd"
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

// Upstreams reject lookups and run them all the same, without saying so again. Each lookup must reach no more upstreams than its route allows, whatever they state.
func TestRejectionsOfALookupCountAsAttempts(t *testing.T) {
	rejects := answers(http.StatusServiceUnavailable, http.Header{headNotRun: {"1"}}, "", nil)
	misses := answers(http.StatusMisdirectedRequest, nil, "", nil)
	breaks := failsWith(verd.Mark(errors.New("reset"), verd.MayHaveRun))
	fails := answers(http.StatusInternalServerError, nil, "", nil)
	for _, c := range []struct {
		name    string
		answers []func(s sent) (resp.Resp, error)
		want    int // status
	}{
		{"two rejections", []func(s sent) (resp.Resp, error){rejects, rejects}, http.StatusServiceUnavailable},
		{"a bare miss and a rejection", []func(s sent) (resp.Resp, error){misses, rejects}, http.StatusServiceUnavailable},
		{"a break and a rejection", []func(s sent) (resp.Resp, error){breaks, rejects}, http.StatusBadGateway},
		{"a rejection and a break", []func(s sent) (resp.Resp, error){rejects, breaks}, http.StatusBadGateway},
		{"a rejection and an error", []func(s sent) (resp.Resp, error){rejects, fails}, http.StatusInternalServerError},
	} {
		b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 2, Target: time.Second})
		b.add("three", nil)
		b.setAnswers(append(c.answers, answers(200, nil, "third", nil))...)
		rec, _ := b.call(nil)
		if got, want := len(b.sent), 2; got != want {
			t.Errorf("%s: sends = %d, want %d", c.name, got, want)
		}
		if got := rec.Code; got != c.want {
			t.Errorf("%s: status = %d, want %d", c.name, got, c.want)
		}
	}
}

// An engine has just unloaded the adapter that a request names, and so has the next one. The request ran at neither, and its stream goes on at the third.
func TestMissesOfAnAdapterAreNoAttempts(t *testing.T) {
	b := newBench(t, streamRoute())
	for _, id := range []string{"one", "two", "three"} {
		b.add(id, map[string]int{"m/a": 1})
	}
	misses := answers(http.StatusMisdirectedRequest, http.Header{headNotRun: {"1"}}, "", nil)
	b.setAnswers(misses, misses, answers(200, nil, "id: 1\n\n", nil))
	rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
	if got, want := rec.Body.String(), "id: 1\n\n"; got != want {
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
