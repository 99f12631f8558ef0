package direct_test

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

// The connection to an upstream breaks after a booking was sent. It may have run: the caller must not be told that it has
// not, and it must not be sent again.
func TestBookingThatMayHaveRunIsNotPromisedAndNotRepeated(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
	b.then(fails(verd.Mark(errors.New("reset"), verd.MayHaveRun)))
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusBadGateway; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
	if got, want := len(b.sent), 1; got != want {
		t.Errorf("sends = %d, want %d", got, want)
	}
}

// An upstream rejects a booking because it is full. It has not run, so another upstream gets it.
func TestRejectedBookingGoesToAnotherUpstream(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
	b.then(answers(503, http.Header{headNot: {"1"}}, "", nil), answers(200, nil, "done", nil))
	rec, _ := b.call(nil)
	if got, want := rec.Body.String(), "done"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}

// No upstream is ready. The caller is told at once that its request has not run and when to come back.
func TestRefusalNamesATimeToComeBack(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once})
	clear(b.view.Targets)
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
	if rec.Header().Get("Retry-After") == "" {
		t.Error("no time to come back, want one")
	}
}

// An answer that is to be passed on whole breaks off, and the request may run again: the caller gets the other upstream's
// answer and no part of the first.
func TestCutAnswerIsReplaced(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 2})
	b.then(answers(200, nil, "half", errors.New("reset")), answers(200, nil, "whole", nil))
	rec, _ := b.call(nil)
	if got, want := rec.Body.String(), "whole"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}

// A host was told to stop and has little of its grace left. A caller's stream that began before ends, and its next request
// comes on the same connection. Sent to an upstream it would be cut off with the host; it is refused as not run, and the
// caller gets it served by another host at once.
func TestHostThatStopsTakesNoMoreRequests(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once, Attempts: 1})
	b.late = true
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
	if got, want := len(b.sent), 0; got != want {
		t.Errorf("sends = %d, want %d", got, want)
	}
	if rec.Header().Get("Retry-After") == "" {
		t.Error("no time to come back, want one")
	}
}

// A request crashes every upstream that runs it and comes again and again. After the third upstream it is refused at once
// and reaches no other one.
func TestRequestThatCrashesUpstreamsIsHeldBack(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 2})
	b.add("three", nil)
	b.add("four", nil)
	crash := fails(verd.Mark(errors.New("reset"), verd.MayHaveRun))
	b.then(crash, crash, crash, crash, crash, crash, crash, crash)
	for range 6 {
		b.call(nil)
		for id, t := range b.view.Targets {
			t.Incarnation++
			b.view.Targets[id] = t
		}
	}
	if got, most := len(b.sent), 4; got > most {
		t.Errorf("sends = %d, want at most %d", got, most)
	}
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
}

// Loads take longer than callers wait. The request is refused before its caller leaves, with a time to come back; sent
// later, it would keep an engine busy for nobody.
func TestRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, streamRoute())
		b.Admit = func(ctx context.Context, _ intent.Intent) error {
			<-ctx.Done()
			return ctx.Err()
		}
		began := time.Now()
		rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
		if got, most := time.Since(began), 3*time.Second; got > most {
			t.Errorf("refused after %v, want at most %v", got, most)
		}
		if rec.Code != http.StatusServiceUnavailable || rec.Header().Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q, want a refusal to come back", rec.Code, rec.Header().Get("Retry-After"))
		}
	})
}

// A caller leaves while its request runs. The upstream did nothing wrong: it must not be left alone for it, or an upstream
// whose callers are impatient would get no requests.
func TestCallerThatLeavesBlamesNoUpstream(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once})
	ctx, leave := context.WithCancel(t.Context())
	b.ctx = ctx
	b.then(func(sent) (resp.Resp, error) {
		leave()
		return resp.Resp{}, verd.Mark(context.Canceled, verd.MayHaveRun)
	})
	if _, broken := b.call(nil); !broken {
		t.Error("an answer was written, want none")
	}
	for id := range b.view.Targets {
		if b.Pick.Resting(id, time.Now()) {
			t.Errorf("%s is left alone, want it used", id)
		}
	}
	b.counted(`requests_total{route="",code="canceled",verdict="may-have-run"} 1`, `outcome="left"} 1`)
}

// The store is away as a host starts, and the host knows no configuration. Callers that are sent back soon come back to the
// same refusal, and most come back only once; the longer the store was away, the later they are told to come.
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

// The engine that holds an adapter has more prompts to read than its callers can wait for. Sent all the same, one more would hold
// up the streams of all others there; the caller is told at once that its request has not run, and when to come back.
func TestRequestWithoutATurnInTimeIsSentBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, route.Route{Kind: kinds.Stream, Target: time.Second})
		b.add("one", map[string]int{"m/a": 1})
		b.add("two", map[string]int{"m/a": 1})
		b.busy = map[string]bool{"one": true, "two": true}
		b.Pick.Waits("one", 1500*time.Millisecond, time.Now())
		b.Pick.Waits("two", 1500*time.Millisecond, time.Now())
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

// All engines that hold an adapter are busy while another one has nothing to do. The request is not refused: the adapter
// is loaded there.
func TestIdleEngineGetsTheAdapterOfBusyOnes(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Stream, Target: time.Second})
	b.add("one", map[string]int{"m/a": 1})
	b.busy = map[string]bool{"one": true}
	b.Pick.Waits("one", 1500*time.Millisecond, time.Now())
	b.then(func(s sent) (resp.Resp, error) {
		if got, want := s.addr, "two:1"; got != want {
			t.Errorf("sent to %s, want %s", got, want)
		}
		return answers(http.StatusOK, nil, "id: 1\ndata: x\n\n", nil)(s)
	})
	if rec, _ := b.call(http.Header{"M": {"m"}, "A": {"m/a"}}); rec.Code != http.StatusOK {
		t.Errorf("status = %d, want %d", rec.Code, http.StatusOK)
	}
}

// A host starts while the store does not answer. Its callers come back once as a rule: sent back for half a second they would
// meet the same refusal, for good, though the store was back a second later.
func TestHostThatStartsInAnOutageSendsCallersBackForLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, streamRoute())
		b.view = view.View{}
		b.away = true
		b.Started = time.Now()
		rec, _ := b.call(nil)
		if got, want := rec.Header().Get("Retry-After"), "2.00"; got != want {
			t.Errorf("Retry-After = %s, want %s", got, want)
		}
	})
}

// Every engine that holds an adapter has prompts waiting. The request goes where the wait is shortest, as they told, and not
// back to the one that looked least busy before: many hosts look at the same old counts, and all would wait in one queue.
func TestRequestWaitsWhereTheWaitIsShortest(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Stream, Target: time.Second})
	b.add("one", map[string]int{"m/a": 1})
	b.add("two", map[string]int{"m/a": 1})
	b.add("three", map[string]int{"m/a": 1})
	b.waits = map[string]time.Duration{"one": 900 * time.Millisecond, "two": 100 * time.Millisecond, "three": 800 * time.Millisecond}
	for _, busy := range []string{"two", "three"} {
		b.Pick.Told(busy, 3, time.Now())
	}
	b.then(answers(http.StatusOK, nil, "id: 1\ndata: x\n\n", nil))
	b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
	if got, want := b.sent[0].addr, "two:1"; got != want {
		t.Errorf("sent to %s, want %s", got, want)
	}
}

// The engines that hold an adapter would make a request wait longer than a load takes, and another one has nothing to do. The
// request has its adapter loaded there instead of being late.
func TestRequestGoesToAnIdleEngineWhenHoldersAreSlow(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Stream, Target: time.Second})
	b.add("one", map[string]int{"m/a": 1})
	b.waits = map[string]time.Duration{"one": 900 * time.Millisecond}
	b.then(answers(http.StatusOK, nil, "id: 1\ndata: x\n\n", nil))
	b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
	if got, want := b.sent[0].addr, "two:1"; got != want {
		t.Errorf("sent to %s, want %s", got, want)
	}
}
