package direct_test

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

// restEvents is what is left of a stream behind its first event.
const restEvents = lastEvent + "id: 3\ndata: c\n\n"

// movedBench is a bench of three engines, at the first of which a stream of two runs at most falls silent.
func movedBench(t *testing.T, next ...func(s sent) (resp.Resp, error)) *bench {
	b := silentBench(t, true)
	b.add("three", map[string]int{"m/a": 1})
	cuts := 0
	b.then(append([]func(s sent) (resp.Resp, error){pausing(time.Hour, &cuts)}, next...)...)
	return b
}

// A silent stream has used up its runs at the engine that it was moved to, which fails it: broken off, its caller would lose what the first engine, only
// silent, may still make.
func TestStreamThatWasMovedReturnsWhereTheNextEngineFails(t *testing.T) {
	for name, next := range map[string]func(s sent) (resp.Resp, error){
		"no answer": fails(verd.Mark(errors.New("reset"), verd.MayHaveRun)),
		"a failure": answers(http.StatusInternalServerError, nil, "", nil),
		"a break":   answers(http.StatusOK, nil, lastEvent+"id: 3", errors.New("reset")),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := movedBench(t, next, answers(http.StatusOK, nil, restEvents, nil))
				rec, broken := b.call(held)
				if got, want := rec.Body.String(), firstEvent+restEvents; got != want || broken {
					t.Fatalf("answer = %q, broken off = %v, want %q whole", got, broken, want)
				}
				if got, want := b.sent[2].addr, b.sent[0].addr; got != want {
					t.Errorf("sent last to %s, want %s: it would run on a third engine", got, want)
				}
			})
		})
	}
}

// A stream that was moved is not run by the engine that it was moved to, which has not used up a run of it: it goes on at any other one.
func TestStreamThatWasMovedGoesOnWhereTheNextEngineDoesNotRunIt(t *testing.T) {
	for name, next := range map[string]func(s sent) (resp.Resp, error){
		"rejected":    answers(http.StatusServiceUnavailable, http.Header{headNot: {"1"}}, "", nil),
		"not reached": fails(verd.Mark(errors.New("refused"), verd.NotRun)),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := movedBench(t, next, answers(http.StatusOK, nil, restEvents, nil))
				rec, broken := b.call(held)
				if got, want := rec.Body.String(), firstEvent+restEvents; got != want || broken {
					t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
				}
			})
		})
	}
}

// A stream has returned to the engine that it was moved from, and fails there as well: sent on and on, it would run without a bound.
func TestStreamReturnsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reset := fails(verd.Mark(errors.New("reset"), verd.MayHaveRun))
		b := movedBench(t, reset, reset)
		if _, broken := b.call(held); !broken {
			t.Error("the answer looks whole, want the connection broken off")
		}
		if got, want := len(b.sent), 3; got != want {
			t.Errorf("sends = %d, want %d", got, want)
		}
	})
}

// The engine that a stream was moved from is taken off the list, as the next one fails the stream or a moment later: waited for, it would hold the caller
// until the time ends.
func TestStreamDoesNotWaitForAnEngineThatIsGone(t *testing.T) {
	for _, later := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := movedBench(t)
			gone := func() { delete(b.view.Targets, b.sent[0].extra.Get(headFor)) }
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
			if _, broken := b.call(held); !broken {
				t.Error("the answer looks whole, want the connection broken off")
			}
			if got, most := time.Since(b.begun), 2*time.Second; got > most {
				t.Errorf("broken off after %v, want %v at most", got, most)
			}
		})
	}
}
