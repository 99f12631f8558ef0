package direct_test

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

// An upstream begins to answer a request that may be repeated and then hangs. Patience with it ends like that with one that does not begin; the
// caller is still there, and another upstream has the answer.
func TestAnswerThatHangsIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 2, Target: time.Second})
		sends := 0
		b.Do = func(ctx context.Context, addr string, _ demand.Demand, _ http.Header, _ func() bool) (resp.Resp, error) {
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

// Patience with an engine ends in the moment in which its stream begins: taken for the caller's leaving, that would break the connection off.
func TestStreamThatBeginsAsPatienceEndsGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, true)
		sends := 0
		b.Do = func(ctx context.Context, addr string, _ demand.Demand, _ http.Header, _ func() bool) (resp.Resp, error) {
			if sends++; sends > 1 {
				return answers(http.StatusOK, nil, firstEvent+lastEvent, nil)(sent{})
			}
			<-ctx.Done()
			return answers(http.StatusOK, nil, "", ctx.Err())(sent{})
		}
		rec, broken := b.call(held)
		if got, want := rec.Body.String(), firstEvent+lastEvent; got != want || broken {
			t.Errorf("answer = %q, broken off: %v, want %q whole", got, broken, want)
		}
	})
}
