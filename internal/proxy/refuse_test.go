package proxy_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/kinds"
	"damaskreach/internal/resp"
	"damaskreach/internal/route"
	"damaskreach/internal/view"
	"damaskreach/pkg/verd"
)

// The connection to an upstream breaks after a booking was sent. The booking may have run, so it must not be reported as not
// run, nor sent again.
func TestBookingThatMayHaveRunIsNotPromisedAndNotRepeated(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
	b.setAnswers(failsWith(verd.Mark(errors.New("reset"), verd.MayHaveRun)))
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusBadGateway; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
	if got, want := len(b.sent), 1; got != want {
		t.Errorf("sends = %d, want %d", got, want)
	}
}

// An upstream rejects a booking because it is full. The booking has not run, so another upstream gets it.
func TestRejectedBookingGoesToAnotherUpstream(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
	b.setAnswers(answers(503, http.Header{headNotRun: {"1"}}, "", nil), answers(200, nil, "done", nil))
	rec, _ := b.call(nil)
	if got, want := rec.Body.String(), "done"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}

// An upstream answers a booking with a status that tells its caller to book again, but does not state that it has not run it. Passed on, two trucks come.
func TestStatusWithoutAStatementIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
		b.setAnswers(answers(status, nil, "", nil))
		rec, _ := b.call(nil)
		if got, want := rec.Code, http.StatusBadGateway; got != want {
			t.Errorf("upstream answers %d: status = %d, want %d", status, got, want)
		}
		b.wantMetrics(`code="unclear",verdict="may-have-run"} 1`)
	}
}

// An upstream answers a lookup so. It may run again, and the caller gets the other upstream's answer.
func TestLookupWithoutAClearAnswerGoesToAnotherUpstream(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 2})
	b.setAnswers(answers(503, nil, "", nil), answers(200, nil, "done", nil))
	rec, _ := b.call(nil)
	if got, want := rec.Body.String(), "done"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}

// No upstream is ready. The caller is told at once that its request has not run and when to retry.
func TestRefusalNamesATimeToComeBack(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once})
	clear(b.view.Targets)
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
	if rec.Header().Get("Retry-After") == "" {
		t.Error("no Retry-After, want one")
	}
}

// A buffered answer breaks off, and the request may run again. The caller gets the other upstream's answer and no part of the first.
func TestCutAnswerIsReplaced(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 2})
	b.setAnswers(answers(200, nil, "half", errors.New("reset")), answers(200, nil, "whole", nil))
	rec, _ := b.call(nil)
	if got, want := rec.Body.String(), "whole"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}

// A host is about to stop, and a caller sends its next request on a connection that is still open. Sent to an upstream it would
// be cut off with the host, so it is refused as not run, and another host can serve it at once.
func TestHostThatStopsTakesNoMoreRequests(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
	b.closeEntry()
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
	if got, want := len(b.sent), 0; got != want {
		t.Errorf("sends = %d, want %d", got, want)
	}
	if rec.Header().Get("Retry-After") == "" {
		t.Error("no Retry-After, want one")
	}
}

// A request crashes every upstream that runs it and is repeated. After the third crash it is refused and reaches no other upstream.
func TestRequestThatCrashesUpstreamsIsBlocked(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 2})
	b.add("three", nil)
	b.add("four", nil)
	crash := failsWith(verd.Mark(errors.New("reset"), verd.MayHaveRun))
	b.setAnswers(crash, crash, crash, crash, crash, crash, crash, crash)
	for range 6 {
		b.call(nil)
		for id, t := range b.view.Targets {
			t.Incarnation++
			b.view.Targets[id] = t
		}
	}
	if got, limit := len(b.sent), 4; got > limit {
		t.Errorf("sends = %d, want at most %d", got, limit)
	}
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
}

// Loads take longer than callers wait. The request is refused, with a Retry-After, before its caller leaves; sent later, it
// would keep an engine busy for nobody.
func TestRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, streamRoute())
		b.Admit = func(ctx context.Context, _ intent.Intent) error {
			<-ctx.Done()
			return ctx.Err()
		}
		began := time.Now()
		rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
		if got, limit := time.Since(began), 3*time.Second; got > limit {
			t.Errorf("refused after %v, want at most %v", got, limit)
		}
		if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q, want 503 and a time to retry", rec.Code, rec.Header().Get("Retry-After"))
		}
	})
}

// A caller leaves while its request runs. With a backoff for that, an upstream whose callers are impatient would get no requests.
func TestCallerThatLeavesBlamesNoUpstream(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once})
	ctx, leave := context.WithCancel(t.Context())
	b.ctx = ctx
	b.setAnswers(func(sent) (resp.Resp, error) {
		leave()
		return resp.Resp{}, verd.Mark(context.Canceled, verd.MayHaveRun)
	})
	if _, broken := b.call(nil); !broken {
		t.Error("an answer was written, want none")
	}
	for id := range b.view.Targets {
		if b.Pick.InBackoff(id, time.Now()) {
			t.Errorf("%s is in backoff, want it used", id)
		}
	}
	b.wantMetrics(`requests_total{route="",code="canceled",verdict="may-have-run"} 1`, `outcome="left"} 1`)
}

// The store is down when a host starts, so it has no configuration. Most callers retry only once, so the longer the outage
// lasts, the later they are told to retry.
func TestHostWithoutConfigurationSendsCallersBackLaterAndLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, streamRoute())
		b.view = view.View{}
		b.Started = time.Now()
		for _, c := range []struct{ pass, want string }{{"100ms", "0.50"}, {"1900ms", "2.00"}, {"1m", "3.00"}} {
			d, err := time.ParseDuration(c.pass)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(d)
			rec, _ := b.call(nil)
			if got := rec.Header().Get("Retry-After"); got != c.want {
				t.Errorf("Retry-After after another %s = %s, want %s", c.pass, got, c.want)
			}
		}
	})
}

// The engines that hold an adapter have longer queues than the caller waits. One more prompt would delay the streams there; the
// caller is told at once that its request has not run and when to retry.
func TestRequestWithoutATurnInTimeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, route.Route{Kind: kinds.Stream, Target: time.Second})
		b.add("one", map[string]int{"m/a": 1})
		b.add("two", map[string]int{"m/a": 1})
		b.busy = map[string]bool{"one": true, "two": true}
		b.Pick.SetWait("one", 1500*time.Millisecond, time.Now())
		b.Pick.SetWait("two", 1500*time.Millisecond, time.Now())
		rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
		if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
			t.Errorf("status = %d, want %d", got, want)
		}
		if got, want := rec.Header().Get("Retry-After"), "1.50"; got != want {
			t.Errorf("Retry-After = %q, want %q", got, want)
		}
		if len(b.sent) != 0 {
			t.Errorf("sends = %d, want none", len(b.sent))
		}
	})
}

// All engines that hold an adapter are busy and another one is idle. The adapter is loaded there instead of the request being refused.
func TestIdleEngineGetsTheAdapterOfBusyOnes(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Stream, Target: time.Second})
	b.add("one", map[string]int{"m/a": 1})
	b.busy = map[string]bool{"one": true}
	b.Pick.SetWait("one", 1500*time.Millisecond, time.Now())
	b.setAnswers(func(s sent) (resp.Resp, error) {
		if got, want := s.addr, "two:1"; got != want {
			t.Errorf("sent to %s, want %s", got, want)
		}
		return answers(http.StatusOK, nil, "id: 1\ndata: x\n\n", nil)(s)
	})
	if rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}}); rec.Code != http.StatusOK {
		t.Errorf("status = %d, want %d", rec.Code, http.StatusOK)
	}
}

// A host starts while the store does not answer. Callers usually retry once: after half a second they would meet the same
// outage and give up.
func TestHostThatStartsInAnOutageSendsCallersBackForLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, streamRoute())
		b.view = view.View{}
		b.storeDown = true
		b.Started = time.Now()
		rec, _ := b.call(nil)
		if got, want := rec.Header().Get("Retry-After"), "2.00"; got != want {
			t.Errorf("Retry-After = %s, want %s", got, want)
		}
	})
}

// All engines that hold an adapter have queues. The request goes to the one that reports the shortest wait, not to the one that
// seemed least busy: the counts are old and the same at many hosts, whose requests would all join one queue.
func TestRequestWaitsWhereTheWaitIsShortest(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Stream, Target: time.Second})
	b.add("one", map[string]int{"m/a": 1})
	b.add("two", map[string]int{"m/a": 1})
	b.add("three", map[string]int{"m/a": 1})
	b.turnWaits = map[string]time.Duration{"one": 900 * time.Millisecond, "two": 100 * time.Millisecond, "three": 800 * time.Millisecond}
	for _, busy := range []string{"two", "three"} {
		b.Pick.SetReported(busy, 3, time.Now())
	}
	b.setAnswers(answers(http.StatusOK, nil, "id: 1\ndata: x\n\n", nil))
	b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
	if got, want := b.sent[0].addr, "two:1"; got != want {
		t.Errorf("sent to %s, want %s", got, want)
	}
}

// The wait at the engines that hold an adapter is longer than a load, and another engine is idle. The adapter is loaded there,
// so that the request is not late.
func TestRequestGoesToAnIdleEngineWhenHoldersAreSlow(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Stream, Target: time.Second})
	b.add("one", map[string]int{"m/a": 1})
	b.turnWaits = map[string]time.Duration{"one": 900 * time.Millisecond}
	b.setAnswers(answers(http.StatusOK, nil, "id: 1\ndata: x\n\n", nil))
	b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
	if got, want := b.sent[0].addr, "two:1"; got != want {
		t.Errorf("sent to %s, want %s", got, want)
	}
}
