package proxy_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/resp"
	"damaskreach/pkg/verd"
)

// remainingEvents is what follows a stream's first event.
const remainingEvents = lastEvent + "id: 3\ndata: c\n\n"

// newMovedBench returns a bench of three engines. A stream that may run twice falls silent at the first one that it is sent to.
func newMovedBench(t *testing.T, next ...func(s sent) (resp.Resp, error)) *bench {
	b := newHolderBench(t, true)
	b.add("three", map[string]int{"m/a": 1})
	cuts := 0
	b.setAnswers(append([]func(s sent) (resp.Resp, error){pausesFor(time.Hour, &cuts)}, next...)...)
	return b
}

// A silent stream has used up its runs at the engine that it was moved to, and fails there. Broken off, it would lose what the
// first engine, which was only silent, may still produce.
func TestMovedStreamReturnsWhenTheNextEngineFails(t *testing.T) {
	for name, next := range map[string]func(s sent) (resp.Resp, error){
		"no answer": failsWith(verd.Mark(errors.New("reset"), verd.MayHaveRun)),
		"a failure": answers(http.StatusInternalServerError, nil, "", nil),
		"a break":   answers(http.StatusOK, nil, lastEvent+"id: 3", errors.New("reset")),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newMovedBench(t, next, answers(http.StatusOK, nil, remainingEvents, nil))
				rec, broken := b.call(adapterRequest)
				if got, want := rec.Body.String(), firstEvent+remainingEvents; got != want || broken {
					t.Fatalf("answer = %q, broken off = %v, want %q whole", got, broken, want)
				}
				if got, want := b.sent[2].addr, b.sent[0].addr; got != want {
					t.Errorf("sent last to %s, want %s: it would run on a third engine", got, want)
				}
			})
		})
	}
}

// The engine that a stream was moved to does not run it, which uses up no run: the stream continues at any other engine.
func TestMovedStreamContinuesWhenTheNextEngineDoesNotRunIt(t *testing.T) {
	for name, next := range map[string]func(s sent) (resp.Resp, error){
		"rejected":    answers(http.StatusServiceUnavailable, http.Header{headNotRun: {"1"}}, "", nil),
		"not reached": failsWith(verd.Mark(errors.New("refused"), verd.NotRun)),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newMovedBench(t, next, answers(http.StatusOK, nil, remainingEvents, nil))
				rec, broken := b.call(adapterRequest)
				if got, want := rec.Body.String(), firstEvent+remainingEvents; got != want || broken {
					t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
				}
			})
		})
	}
}

// A stream has returned to the engine that it was moved from, and fails there as well. It must not be sent on without a bound.
func TestMovedStreamReturnsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reset := failsWith(verd.Mark(errors.New("reset"), verd.MayHaveRun))
		b := newMovedBench(t, reset, reset)
		if _, broken := b.call(adapterRequest); !broken {
			t.Error("the answer looks whole, want the connection broken off")
		}
		if got, want := len(b.sent), 3; got != want {
			t.Errorf("sends = %d, want %d", got, want)
		}
	})
}

// The engine that a stream was moved from is removed when the next one fails the stream, or soon after. Waiting for it would
// hold the caller until its deadline.
func TestMovedStreamDoesNotWaitForAnEngineThatIsGone(t *testing.T) {
	for _, later := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newMovedBench(t)
			gone := func() { delete(b.view.Targets, b.sent[0].extra.Get(headTarget)) }
			b.answers = append(b.answers, func(sent) (resp.Resp, error) {
				if !later {
					gone()
				}
				return resp.Resp{}, verd.Mark(errors.New("reset"), verd.MayHaveRun)
			})
			b.Admit = func(_ context.Context, w intent.Intent) error {
				if len(b.sent) < 2 {
					return nil
				}
				gone()
				return intent.ErrLoadQueueFull
			}
			if _, broken := b.call(adapterRequest); !broken {
				t.Error("the answer looks whole, want the connection broken off")
			}
			if got, limit := time.Since(b.start), 2*time.Second; got > limit {
				t.Errorf("broken off after %v, want %v at most", got, limit)
			}
		})
	}
}
