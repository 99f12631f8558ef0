package direct_test

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

// lookedAt is a context that calls behind once it was looked at how it ended.
type lookedAt struct {
	context.Context
	behind func()
}

// Err looks at how the context ended.
func (c lookedAt) Err() error {
	defer c.behind()
	return c.Context.Err()
}

// endsBehindALook is a bench whose host ends right behind the first look at how a request ended since armed was set. The timers of requests are
// late by so much.
func endsBehindALook(t *testing.T, late time.Duration) (b *bench, armed *atomic.Bool) {
	b = silentBench(t, false)
	ctx, end := context.WithCancel(t.Context())
	b.Ending = ctx
	armed = &atomic.Bool{}
	b.Bound = func(ctx context.Context, until time.Time) (context.Context, context.CancelFunc) {
		ctx, cancel := context.WithDeadline(ctx, until.Add(late))
		return lookedAt{ctx, func() {
			if armed.CompareAndSwap(true, false) {
				end()
				synctest.Wait()
			}
		}}, cancel
	}
	return b, armed
}

// An upstream breaks off in the moment in which its host's last answers are due: taken for one whose caller left, the request would get none.
func TestRequestWhoseUpstreamBreaksOffAsItsHostEndsIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, armed := endsBehindALook(t, 0)
		b.Do = func(context.Context, string, demand.Demand, http.Header, func() bool) (resp.Resp, error) {
			armed.Store(true)
			return resp.Resp{}, verd.Mark(errors.New("reset"), verd.MayHaveRun)
		}
		rec, broken := b.call(held)
		if got, want := rec.Code, http.StatusBadGateway; got != want || broken {
			t.Errorf("status = %d, broken off = %v, want %d whole", got, broken, want)
		}
		b.counted(`code="crashed",verdict="may-have-run"} 1`)
	})
}

// A request's time ends before its timer tells so, and its host ends just then: refused as one whose caller left, it would be told that it may have run.
func TestRequestThatIsLateAsItsHostEndsIsNotTakenForLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, armed := endsBehindALook(t, time.Minute)
		admitted := false
		b.Admit = func(context.Context, intent.Intent) error {
			time.Sleep(10 * time.Second)
			admitted = true
			return nil
		}
		b.View = func() view.View {
			armed.Store(admitted) // the last question before the request would be sent
			return b.view
		}
		rec, _ := b.call(held)
		if got, want := rec.Code, http.StatusServiceUnavailable; got != want {
			t.Errorf("status = %d, want %d", got, want)
		}
		b.counted(`code="deadline",verdict="not-run"} 1`)
	})
}
