package direct_test

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

// limited has the host hear that an upstream takes one request a second.
func (b *bench) limited(ids ...string) {
	for _, id := range ids {
		b.Ration.Hear(id, notice.Notice{Limited: true, Limit: 1})
	}
}

// An upstream names a limit in an answer. The next request of this host is counted before it goes there.
func TestNamedLimitIsAskedForFromTheNextRequestOn(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once})
	b.view.Rules.Pools["g"] = pool.Pool{Name: "g"}
	delete(b.view.Targets, "two")
	b.then(answers(200, http.Header{headMost: {"1.5"}}, "", nil), answers(200, nil, "", nil), answers(200, nil, "", nil))
	b.call(nil)
	if len(b.asked) != 0 {
		t.Errorf("asked for %v before any limit was named", b.asked)
	}
	b.call(nil)
	if got, want := len(b.asked), 1; got != want {
		t.Errorf("asked for %d requests to be counted, want %d", got, want)
	}
	b.call(nil)
	if got, want := len(b.asked), 1; got != want {
		t.Errorf("asked for %d requests to be counted after an answer without a limit, want %d", got, want)
	}
}

// The limit of one upstream leaves no room: another one gets the request, and where all are full the caller is told so, as not run.
func TestFullLimitSendsRequestsElsewhere(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once})
	b.view.Rules.Pools["g"] = pool.Pool{Name: "g"}
	b.limited("one", "two")
	b.full = map[string]time.Duration{"one": 3 * time.Second}
	b.then(answers(200, nil, "done", nil))
	b.call(nil)
	if got, want := b.sent[0].addr, "two:1"; got != want {
		t.Errorf("sent to %s, want %s", got, want)
	}
	b.limited("two")
	b.full["two"] = 2 * time.Second
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
	if got, want := rec.Header().Get("Retry-After"), "2.00"; got != want {
		t.Errorf("Retry-After = %q, want %q, when the first limit has room", got, want)
	}
}

// The host that counts for an upstream gives no answer. Were the requests sent all the same, those of all hosts would add up.
func TestNothingIsSentThatNobodyCounts(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Once})
	b.view.Rules.Pools["g"] = pool.Pool{Name: "g"}
	b.limited("one", "two")
	b.permitErr = errors.New("no answer")
	rec, _ := b.call(nil)
	if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
}

// The host that grants the turns at an engine in need gives no answer: what the engine holds is asked for at another one.
func TestEngineInNeedGetsNothingUncounted(t *testing.T) {
	b := newBench(t, streamRoute())
	b.limited("one")
	b.lose("one")
	b.then(answers(200, nil, "", nil))
	b.call(http.Header{"M": {"m"}})
	if got, want := b.sent[0].addr, "two:1"; got != want {
		t.Errorf("sent to %s, want %s", got, want)
	}
}

// An adapter that no engine holds is loaded where there is room, and not at an engine in need.
func TestEngineInNeedGetsNoFurtherAdapters(t *testing.T) {
	for _, id := range []string{"one", "two"} {
		b := newBench(t, streamRoute())
		b.limited(id)
		b.then(answers(200, nil, "", nil))
		b.call(http.Header{"M": {"m"}, "A": {"m/a"}})
		if got := b.loads[0].EngineID; got == id {
			t.Errorf("loaded to %s, which is in need, want the other one", got)
		}
	}
}

// lose has the host that orders an engine give no answer.
func (b *bench) lose(id string) {
	admit := b.Admit
	b.Admit = func(ctx context.Context, w intent.Intent) error {
		if w.EngineID == id {
			return errors.New("connection reset")
		}
		return admit(ctx, w)
	}
}
