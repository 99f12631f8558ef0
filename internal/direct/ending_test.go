package direct_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/intent"
	"damaskreach/internal/resp"
	"damaskreach/pkg/verd"
)

// endsAfter is how long after a request came its host ends in these tests.
const endsAfter = 500 * time.Millisecond

// endingBench is a bench whose host ends soon.
func endingBench(t *testing.T) *bench {
	b := silentBench(t, true)
	ctx, end := context.WithCancel(t.Context())
	time.AfterFunc(endsAfter, end)
	b.Ending = ctx
	return b
}

// wantEnded checks that a request was answered as its host ended.
func (b *bench) wantEnded(rec *httptest.ResponseRecorder, status int) {
	b.t.Helper()
	if got := time.Since(b.begun); got != endsAfter {
		b.t.Errorf("answered after %v, want %v", got, endsAfter)
	}
	if got := rec.Code; got != status {
		b.t.Errorf("status = %d, want %d", got, status)
	}
}

// A host ends while a request waits here for its turn: it has not run, and another host may serve it at once.
func TestRequestThatWaitsIsSentElsewhereAsItsHostEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := endingBench(t)
		b.Admit = func(ctx context.Context, _ intent.Intent) error {
			<-ctx.Done()
			return ctx.Err()
		}
		rec, _ := b.call(held)
		b.wantEnded(rec, http.StatusServiceUnavailable)
		if rec.Header().Get("Retry-After") == "" {
			t.Error("no time to come back, want one")
		}
		b.counted(`code="leaving",verdict="not-run"} 1`)
	})
}

// A host ends while an upstream has a request and has not answered: the caller is told that it may have run, and the upstream is not to blame.
func TestRequestAtAnUpstreamIsAnsweredAsItsHostEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := endingBench(t)
		b.Do = func(ctx context.Context, _ string, _ demand.Demand, _ http.Header, _ func() bool) (resp.Resp, error) {
			<-ctx.Done()
			return resp.Resp{}, verd.Mark(ctx.Err(), verd.MayHaveRun)
		}
		rec, _ := b.call(held)
		b.wantEnded(rec, http.StatusBadGateway)
		b.counted(`code="leaving",verdict="may-have-run"} 1`, `outcome="left"} 1`)
		for id := range b.view.Targets {
			if b.Pick.Resting(id, time.Now()) {
				t.Errorf("%s is left alone, want it used", id)
			}
		}
	})
}

// A host is about to end while a stream is under way: it has the time that is left.
func TestStreamUnderWayGoesOnAsItsHostEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := endingBench(t)
		cuts := 0
		b.then(pausing(endsAfter+100*time.Millisecond, &cuts))
		rec, broken := b.call(held)
		if got, want := rec.Body.String(), firstEvent+lastEvent; got != want || broken {
			t.Errorf("answer = %q, broken off: %v, want %q whole", got, broken, want)
		}
	})
}

// A stream's answer comes at the moment in which its host begins to end: taken for one whose time is over, its line would name the wrong cause, and
// waiting for the engine's next event would hold up the answer.
func TestStreamThatBeginsAsItsHostEndsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, true)
		ctx, end := context.WithCancel(t.Context())
		b.Ending = ctx
		cuts := 0
		stream := answers(http.StatusOK, nil, firstEvent, nil)
		b.then(func(s sent) (resp.Resp, error) {
			r, err := stream(s)
			r.Cut = func() { cuts++ }
			end()
			return r, err
		})
		rec, _ := b.call(held)
		if got, want := rec.Code, http.StatusBadGateway; got != want {
			t.Errorf("status = %d, want %d", got, want)
		}
		if got, want := cuts, 1; got != want {
			t.Errorf("engine cut %d times, want %d", got, want)
		}
		b.counted(`code="leaving",verdict="may-have-run"} 1`)
	})
}

// The time in which an older version serves ends while a request waits for a turn there, and its host ends just then: taken for one whose own time is
// over, it would be refused without being sent elsewhere at once.
func TestRequestThatWaitsForAnOlderVersionIsSentElsewhereAsItsHostEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, true)
		b.view = b.view.WithVersion("m/a", 2, time.Now())
		ctx, end := context.WithCancel(t.Context())
		b.Ending = ctx
		b.Admit = func(ctx context.Context, w intent.Intent) error {
			if w.Background {
				return intent.ErrLoadQueueFull
			}
			<-ctx.Done()
			end()
			synctest.Wait()
			return ctx.Err()
		}
		rec, _ := b.call(held)
		if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
			t.Errorf("status = %d, want %d", got, want)
		}
		if rec.Header().Get("Retry-After") == "" {
			t.Error("no time to come back, want one")
		}
		b.counted(`code="leaving",verdict="not-run"} 1`)
	})
}
