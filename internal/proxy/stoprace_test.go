package proxy_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/intent"
	"damaskreach/internal/resp"
	"damaskreach/internal/view"
	"damaskreach/pkg/verd"
)

// errHookContext is a context that calls afterErr after each call of Err.
type errHookContext struct {
	context.Context
	afterErr func()
}

// Err returns why the context ended, and then calls afterErr.
func (c errHookContext) Err() error {
	defer c.afterErr()
	return c.Context.Err()
}

// newStopOnErrBench returns a bench. Once the test sets armed, the next call of Err on a request's context stops the host right after it
// returns. The deadlines of these contexts are late by the given time.
func newStopOnErrBench(t *testing.T, late time.Duration) (b *bench, armed *atomic.Bool) {
	b = newHolderBench(t, false)
	ctx, end := context.WithCancel(t.Context())
	b.Stopping = ctx
	armed = &atomic.Bool{}
	b.WithDeadline = func(ctx context.Context, until time.Time) (context.Context, context.CancelFunc) {
		ctx, cancel := context.WithDeadline(ctx, until.Add(late))
		return errHookContext{ctx, func() {
			if armed.CompareAndSwap(true, false) {
				end()
				synctest.Wait()
			}
		}}, cancel
	}
	return b, armed
}

// An upstream breaks off just as its host stops. Taken for a request whose caller left, it would get no answer.
func TestRequestIsAnsweredWhenItsUpstreamBreaksOffAsItsHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, armed := newStopOnErrBench(t, 0)
		b.Send = func(context.Context, string, demand.Demand, func() http.Header, func() bool) (resp.Resp, error) {
			armed.Store(true)
			return resp.Resp{}, verd.Mark(errors.New("reset"), verd.MayHaveRun)
		}
		rec, broken := b.call(adapterRequest)
		if got, want := rec.Code, http.StatusBadGateway; got != want || broken {
			t.Errorf("status = %d, broken off = %v, want %d whole", got, broken, want)
		}
		b.wantMetrics(`code="crashed",verdict="may-have-run"} 1`)
	})
}

// A request's deadline passes before its timer fires, just as its host stops. Taken for one whose caller left, it would be
// reported as maybe run.
func TestTimedOutRequestIsNotCanceledWhenItsHostStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, armed := newStopOnErrBench(t, time.Minute)
		admitted := false
		b.Admit = func(context.Context, intent.Intent) error {
			time.Sleep(10 * time.Second)
			admitted = true
			return nil
		}
		b.View = func() view.View {
			armed.Store(admitted) // View is called last before the request would be sent
			return b.view
		}
		rec, _ := b.call(adapterRequest)
		if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
			t.Errorf("status = %d, want %d", got, want)
		}
		b.wantMetrics(`code="deadline",verdict="not-run"} 1`)
	})
}
