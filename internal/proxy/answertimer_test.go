package proxy_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/kinds"
	"damaskreach/internal/resp"
	"damaskreach/internal/route"
)

// An upstream begins to answer a repeatable request and then hangs. The answer timeout applies as if it had not begun, and
// another upstream answers.
func TestHangingAnswerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 2, Target: time.Second})
		sends := 0
		b.Send = func(ctx context.Context, addr string, _ demand.Demand, _ func() http.Header, _ func() bool) (resp.Resp, error) {
			if sends++; sends > 1 {
				return answers(http.StatusOK, nil, "ok", nil)(sent{})
			}
			r, w := io.Pipe()
			context.AfterFunc(ctx, func() { w.CloseWithError(ctx.Err()) })
			return resp.Resp{Status: http.StatusOK, Header: http.Header{}, Body: r, Cut: func() {}, Close: func() {}}, nil
		}
		rec, broken := b.call(nil)
		if got, want := rec.Code, http.StatusOK; got != want || broken {
			t.Errorf("status = %d, broken off: %v, want %d whole", got, broken, want)
		}
	})
}

// A stream begins at the very moment of its answer timeout. Taken for a caller that left, the connection would be broken off.
func TestStreamThatBeginsAtTheAnswerTimeoutContinues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		sends := 0
		b.Send = func(ctx context.Context, addr string, _ demand.Demand, _ func() http.Header, _ func() bool) (resp.Resp, error) {
			if sends++; sends > 1 {
				return answers(http.StatusOK, nil, firstEvent+lastEvent, nil)(sent{})
			}
			<-ctx.Done()
			return answers(http.StatusOK, nil, "", ctx.Err())(sent{})
		}
		rec, broken := b.call(adapterRequest)
		if got, want := rec.Body.String(), firstEvent+lastEvent; got != want || broken {
			t.Errorf("answer = %q, broken off: %v, want %q whole", got, broken, want)
		}
	})
}
