package proxy_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"damaskreach/internal/intent"
	"damaskreach/internal/kinds"
	"damaskreach/internal/notice"
	"damaskreach/internal/resp"
	"damaskreach/internal/route"
	"damaskreach/internal/spent"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

var errReset = errors.New("reset")

// newCrashBench returns a bench with eight upstreams and a route whose requests run once at each try.
func newCrashBench(t *testing.T) *bench {
	b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 1})
	for n := range 6 {
		b.add(fmt.Sprint("e", n), nil)
	}
	return b
}

// breakOff is the answer of an upstream whose connection breaks while it runs the request.
func breakOff(s sent) (resp.Resp, error) {
	return failsWith(verd.Mark(errReset, verd.MayHaveRun))(s)
}

// wantSuspect checks that the request is refused without being sent.
func (b *bench) wantSuspect() {
	b.t.Helper()
	before := len(b.sent)
	rec, _ := b.call(nil)
	if rec.Code != http.StatusServiceUnavailable || !strings.Contains(rec.Body.String(), refuse.Suspect) {
		b.t.Errorf("answer = %d %s, want refused as %s", rec.Code, rec.Body.String(), refuse.Suspect)
	}
	if got := len(b.sent) - before; got != 0 {
		b.t.Errorf("sends = %d, want 0", got)
	}
}

// A request crashes upstreams, and some fail it with a status of 500 before they begin to run it. Taken for a sign that it runs well, that would
// hide the crashes.
func TestUpstreamsErrorSaysNothingForARequest(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusGatewayTimeout} {
		synctest.Test(t, func(t *testing.T) {
			b := newCrashBench(t)
			b.setAnswers(breakOff, breakOff, answers(status, nil, "", nil), breakOff)
			for range 4 {
				b.call(nil)
			}
			b.wantSuspect()
		})
	}
}

// A request crashes each upstream as it answers, behind the head of the answer. Counted only where nothing was answered, such crashes would go on
// for ever.
func TestUpstreamThatCrashesWithinItsAnswerCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCrashBench(t)
		cut := answers(http.StatusOK, nil, "half", errReset)
		b.setAnswers(cut, cut, cut)
		for range 3 {
			b.call(nil)
		}
		b.wantSuspect()
	})
}

// Requests wait for room at their upstreams while a third one like them crashes. Sent when their turn comes, each would end a further upstream.
func TestWaitingRequestIsNotSentOnceItsLikeIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newCrashBench(t)
		given, returned := uint64(0), false
		b.EndTurn = func(s spent.Spent) { returned = returned || s.Turn == given }
		b.Permit = func(_ context.Context, w intent.Intent) error {
			given = w.Turn
			b.setAnswers(breakOff, breakOff, breakOff)
			b.Permit = b.permit
			for range 3 {
				b.call(nil)
			}
			return nil
		}
		for id := range b.view.Targets {
			b.Ration.Observe(id, notice.Notice{Limited: true, Limit: 100})
		}
		rec, _ := b.call(nil)
		if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
			t.Errorf("status = %d, want %d", got, want)
		}
		if got, want := len(b.sent), 3; got != want {
			t.Errorf("sends = %d, want %d: not a fourth after three crashes", got, want)
		}
		if !returned {
			t.Error("the place at the upstream is not given back, want it free for others")
		}
	})
}
