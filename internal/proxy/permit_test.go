package proxy_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/kinds"
	"damaskreach/internal/notice"
	"damaskreach/internal/pool"
	"damaskreach/internal/route"
)

// limitUpstreams tells the host that each of the upstreams accepts one request per second.
func (b *bench) limitUpstreams(ids ...string) {
	for _, id := range ids {
		b.Ration.Observe(id, notice.Notice{Limited: true, Limit: 1})
	}
}

// An upstream announces a limit in an answer. This host's next request must be counted before it is sent there.
func TestAnnouncedLimitAppliesFromTheNextRequest(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once})
	b.view.Rules.Pools["g"] = pool.Pool{Name: "g"}
	delete(b.view.Targets, "two")
	b.setAnswers(answers(200, http.Header{headLimit: {"1.5"}}, "", nil), answers(200, nil, "", nil), answers(200, nil, "", nil))
	b.call(nil)
	if len(b.permitAsks) != 0 {
		t.Errorf("asked for %v before any limit was named", b.permitAsks)
	}
	b.call(nil)
	if got, want := len(b.permitAsks), 1; got != want {
		t.Errorf("asked for %d requests to be counted, want %d", got, want)
	}
	b.call(nil)
	if got, want := len(b.permitAsks), 1; got != want {
		t.Errorf("asked for %d requests to be counted after an answer without a limit, want %d", got, want)
	}
}

// One upstream's limit leaves no room, so another one gets the request. If all are full, the caller is told so, as not run.
func TestFullLimitSendsRequestsElsewhere(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once})
	b.view.Rules.Pools["g"] = pool.Pool{Name: "g"}
	b.limitUpstreams("one", "two")
	b.limitWaits = map[string]time.Duration{"one": 3 * time.Second}
	b.setAnswers(answers(200, nil, "done", nil))
	b.call(nil)
	if got, want := b.sent[0].addr, "two:1"; got != want {
		t.Errorf("sent to %s, want %s", got, want)
	}
	b.limitUpstreams("two")
	b.limitWaits["two"] = 2 * time.Second
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
	if got, want := rec.Header().Get("Retry-After"), "2.00"; got != want {
		t.Errorf("Retry-After = %q, want %q, when the first limit has room", got, want)
	}
}

// The host that counts an upstream's requests doesn't answer. Sent anyway, the requests of all hosts together could exceed the limit.
func TestUncountedRequestsAreNotSent(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once})
	b.view.Rules.Pools["g"] = pool.Pool{Name: "g"}
	b.limitUpstreams("one", "two")
	b.permitErr = errors.New("no answer")
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
}

// The host that grants turns at a limited engine doesn't answer. The request goes to another engine.
func TestLimitedEngineGetsNoUncountedRequests(t *testing.T) {
	b := newBench(t, streamRoute())
	b.limitUpstreams("one")
	b.failOrders("one")
	b.setAnswers(answers(200, nil, "", nil))
	b.call(http.Header{"M": {"m"}})
	if got, want := b.sent[0].addr, "two:1"; got != want {
		t.Errorf("sent to %s, want %s", got, want)
	}
}

// An adapter that no engine holds is loaded at an engine without a limit.
func TestLimitedEngineGetsNoFurtherAdapters(t *testing.T) {
	for _, id := range []string{"one", "two"} {
		b := newBench(t, streamRoute())
		b.limitUpstreams(id)
		b.setAnswers(answers(200, nil, "", nil))
		b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
		if got := b.loads[0].EngineID; got == id {
			t.Errorf("loaded to %s, which has a limit, want the other one", got)
		}
	}
}

// failOrders makes requests for turns and loads at an engine fail.
func (b *bench) failOrders(id string) {
	admit := b.Admit
	b.Admit = func(ctx context.Context, w intent.Intent) error {
		if w.EngineID == id {
			return errors.New("connection reset")
		}
		return admit(ctx, w)
	}
}
