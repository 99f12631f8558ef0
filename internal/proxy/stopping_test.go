package proxy_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/intent"
	"damaskreach/internal/kinds"
	"damaskreach/internal/resp"
	"damaskreach/internal/route"
	"damaskreach/pkg/verd"
)

// stopsAfter is how long after a request's arrival its host stops in these tests.
const stopsAfter = 500 * time.Millisecond

// newStoppingBench returns a bench whose host stops soon.
func newStoppingBench(t *testing.T) *bench {
	b := newHolderBench(t, true)
	ctx, end := context.WithCancel(t.Context())
	time.AfterFunc(stopsAfter, end)
	b.Stopping = ctx
	return b
}

// closeEntry has the host of a bench accept no further requests.
func (b *bench) closeEntry() {
	ctx, end := context.WithCancel(b.t.Context())
	end()
	b.Closing = ctx
}

// wantAnsweredAtStop checks that a request was answered when its host stopped.
func (b *bench) wantAnsweredAtStop(rec *httptest.ResponseRecorder, status int) {
	b.t.Helper()
	if got := time.Since(b.start); got != stopsAfter {
		b.t.Errorf("answered after %v, want %v", got, stopsAfter)
	}
	if got := rec.Code; got != status {
		b.t.Errorf("status = %d, want %d", got, status)
	}
}

// A host stops while a request waits for its turn. The request has not run, and another host may serve it at once.
func TestQueuedRequestIsRefusedAsNotRunWhenItsHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newStoppingBench(t)
		b.Admit = func(ctx context.Context, _ intent.Intent) error {
			<-ctx.Done()
			return ctx.Err()
		}
		rec, _ := b.call(adapterRequest)
		b.wantAnsweredAtStop(rec, http.StatusServiceUnavailable)
		if rec.Header().Get("Retry-After") == "" {
			t.Error("no Retry-After, want one")
		}
		b.wantMetrics(`code="leaving",verdict="not-run"} 1`)
	})
}

// A host is told to stop while a request waits for its turn, and will stop too soon to finish it. Sent later, the request would be cut off with the
// host, though another one could serve it at once.
func TestQueuedRequestIsRefusedAsNotRunWhenItsHostIsAboutToStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		ctx, end := context.WithCancel(t.Context())
		time.AfterFunc(stopsAfter, end)
		b.Closing = ctx
		b.Admit = func(ctx context.Context, _ intent.Intent) error {
			<-ctx.Done()
			return ctx.Err()
		}
		rec, _ := b.call(adapterRequest)
		b.wantAnsweredAtStop(rec, http.StatusServiceUnavailable)
		if got, want := rec.Header().Get("Retry-After"), "0.02"; got != want {
			t.Errorf("Retry-After = %q, want %q", got, want)
		}
		b.wantMetrics(`code="leaving",verdict="not-run"} 1`)
	})
}

// A host is about to stop just as a request gets its turn.
func TestRequestThatGetsItsTurnAsItsHostIsAboutToStopIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		b.Admit = func(context.Context, intent.Intent) error {
			b.closeEntry()
			return nil
		}
		rec, _ := b.call(adapterRequest)
		if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
			t.Errorf("status = %d, want %d", got, want)
		}
		if got, want := len(b.sent), 0; got != want {
			t.Errorf("sends = %d, want %d", got, want)
		}
	})
}

// A host is about to stop while an upstream runs a request that may run again, and the upstream breaks off. The request may have run, so that the host goes
// on with it while it can.
func TestRequestThatMayHaveRunGoesOnWhereItsHostIsAboutToStop(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 2})
	broke := answers(http.StatusOK, nil, "half", errors.New("reset"))
	b.setAnswers(func(s sent) (resp.Resp, error) {
		b.closeEntry()
		return broke(s)
	}, answers(http.StatusOK, nil, "whole", nil))
	rec, _ := b.call(nil)
	if got, want := rec.Body.String(), "whole"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}

// A host stops while an upstream has a request and has not answered. The caller is told that it may have run, and the upstream
// is not blamed.
func TestSentRequestIsAnsweredWhenItsHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newStoppingBench(t)
		b.Send = func(ctx context.Context, _ string, _ demand.Demand, _ func() http.Header, _ func() bool) (resp.Resp, error) {
			<-ctx.Done()
			return resp.Resp{}, verd.Mark(ctx.Err(), verd.MayHaveRun)
		}
		rec, _ := b.call(adapterRequest)
		b.wantAnsweredAtStop(rec, http.StatusBadGateway)
		b.wantMetrics(`code="leaving",verdict="may-have-run"} 1`, `outcome="left"} 1`)
		for id := range b.view.Targets {
			if b.Pick.InBackoff(id, time.Now()) {
				t.Errorf("%s is in backoff, want it used", id)
			}
		}
	})
}

// A host is about to stop while a stream is in progress. The stream may use the time that is left.
func TestStreamInProgressContinuesWhenItsHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newStoppingBench(t)
		cuts := 0
		b.setAnswers(pausesFor(stopsAfter+100*time.Millisecond, &cuts))
		rec, broken := b.call(adapterRequest)
		if got, want := rec.Body.String(), firstEvent+lastEvent; got != want || broken {
			t.Errorf("answer = %q, broken off: %v, want %q whole", got, broken, want)
		}
	})
}

// A stream's answer begins just as its host starts to stop. Taken for a timeout, it would be logged with the wrong cause, and
// the answer would wait for the engine's next event.
func TestStreamThatBeginsAsItsHostStopsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		ctx, end := context.WithCancel(t.Context())
		b.Stopping = ctx
		cuts := 0
		stream := answers(http.StatusOK, nil, firstEvent, nil)
		b.setAnswers(func(s sent) (resp.Resp, error) {
			r, err := stream(s)
			r.Cut = func() { cuts++ }
			end()
			return r, err
		})
		rec, _ := b.call(adapterRequest)
		if got, want := rec.Code, http.StatusBadGateway; got != want {
			t.Errorf("status = %d, want %d", got, want)
		}
		if got, want := cuts, 1; got != want {
			t.Errorf("engine cut %d times, want %d", got, want)
		}
		b.wantMetrics(`code="leaving",verdict="may-have-run"} 1`)
	})
}

// An older version's grace period ends while a request waits for a turn there, just as its host stops. Taken for a timeout, the
// request would be refused without the hint that another host can serve it at once.
func TestRequestQueuedForAnOlderVersionIsRefusedAsNotRunWhenItsHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		b.view = b.view.WithVersion("m/a", 2, time.Now())
		ctx, end := context.WithCancel(t.Context())
		b.Stopping = ctx
		b.Admit = func(ctx context.Context, w intent.Intent) error {
			if w.Background {
				return intent.ErrLoadQueueFull
			}
			<-ctx.Done()
			end()
			synctest.Wait()
			return ctx.Err()
		}
		rec, _ := b.call(adapterRequest)
		if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
			t.Errorf("status = %d, want %d", got, want)
		}
		if rec.Header().Get("Retry-After") == "" {
			t.Error("no Retry-After, want one")
		}
		b.wantMetrics(`code="leaving",verdict="not-run"} 1`)
	})
}
