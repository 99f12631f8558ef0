package proxy_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/resp"
)

const (
	firstEvent = "id: 1\ndata: a\n\n"
	lastEvent  = "id: 2\ndata: b\n\n"
)

// adapterRequest holds the headers of a request for an adapter.
var adapterRequest = http.Header{"M": {"m"}, "A": {"m/a"}}

// pausesFor returns an answer of two events with a pause between them. Its Cut ends it at once, as closing the connection does,
// and counts in cuts.
func pausesFor(pause time.Duration, cuts *int) func(s sent) (resp.Resp, error) {
	return func(sent) (resp.Resp, error) {
		r, w := io.Pipe()
		cut := make(chan struct{})
		go func() {
			_, _ = io.WriteString(w, firstEvent)
			select {
			case <-time.After(pause):
				_, _ = io.WriteString(w, lastEvent)
				_ = w.Close()
			case <-cut:
				_ = w.CloseWithError(errors.New("closed"))
			}
		}()
		closeBody := func() { *cuts++; close(cut) }
		return resp.Resp{Status: http.StatusOK, Header: http.Header{}, Body: r, Cut: closeBody, Close: func() {}}, nil
	}
}

// newHolderBench returns a bench of two engines that both hold the adapter.
func newHolderBench(t *testing.T, resumable bool) *bench {
	rt := streamRoute()
	rt.Resumable = resumable
	b := newBench(t, rt)
	b.add("one", map[string]int{"m/a": 1})
	b.add("two", map[string]int{"m/a": 1})
	return b
}

// An overloaded engine pauses for seconds, and no other one has room. Cut off and queued like a new request, the stream would
// get no turn, and its caller would lose an answer that the engine is still producing.
func TestSilentStreamStaysWhenNoOtherEngineHasRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		asked := 0
		b.Admit = func(context.Context, intent.Intent) error {
			if asked++; asked > 1 {
				return intent.ErrLoadQueueFull
			}
			return nil
		}
		cuts := 0
		b.setAnswers(pausesFor(5*time.Second, &cuts))
		rec, broken := b.call(adapterRequest)
		if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want {
			t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
		}
		if asked < 2 || cuts > 0 {
			t.Errorf("turns requested = %d, cuts = %d, want some and none", asked, cuts)
		}
	})
}

// An engine stops responding without a reset. The stream continues elsewhere, and the first engine's connection is closed
// before the second gets the request, so that they don't both work on it.
func TestSilentStreamMovesOnceItHasATurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		cuts := 0
		b.setAnswers(pausesFor(time.Hour, &cuts), func(s sent) (resp.Resp, error) {
			if cuts != 1 {
				t.Errorf("first engine cut %d times before the second was asked, want once", cuts)
			}
			return answers(http.StatusOK, nil, lastEvent, nil)(s)
		})
		began := time.Now()
		rec, broken := b.call(adapterRequest)
		if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want {
			t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
		}
		if got, limit := time.Since(began), 2*time.Second; got > limit {
			t.Errorf("whole after %v, want %v at most", got, limit)
		}
		if b.sent[0].addr == b.sent[1].addr {
			t.Errorf("went on at %s, want another engine", b.sent[1].addr)
		}
	})
}

// An engine resumes while a turn elsewhere is requested. The stream must not move then, or its prompt would be read twice.
func TestStreamThatResumesByItselfIsNotMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		asked := 0
		b.Admit = func(ctx context.Context, _ intent.Intent) error {
			if asked++; asked > 1 {
				<-ctx.Done()
				return ctx.Err()
			}
			return nil
		}
		cuts := 0
		b.setAnswers(pausesFor(1300*time.Millisecond, &cuts))
		rec, broken := b.call(adapterRequest)
		if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want || cuts > 0 {
			t.Errorf("answer = %q, broken off = %v, %d cuts, want %q whole and uncut", got, broken, cuts, want)
		}
		if asked < 2 {
			t.Error("no turn was requested elsewhere")
		}
	})
}

// A stream that must not run twice falls silent. It cannot continue elsewhere, and whatever its engine produces later still
// goes to the caller.
func TestSilentStreamThatMayNotRunTwiceIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, false)
		cuts := 0
		b.setAnswers(pausesFor(5*time.Second, &cuts))
		rec, broken := b.call(adapterRequest)
		if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want {
			t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
		}
	})
}

// An engine crashes during a stream, and all others are full for two seconds. Refused like a new request, the stream's caller
// would lose the part that it has; instead it gets the rest late.
func TestCutStreamWaitsForATurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		began := time.Now()
		b.Admit = func(_ context.Context, w intent.Intent) error {
			if w.Streaming && time.Since(began) < 2*time.Second {
				return intent.ErrLoadQueueFull
			}
			return nil
		}
		b.setAnswers(
			answers(http.StatusOK, nil, firstEvent, errors.New("reset")),
			answers(http.StatusOK, nil, lastEvent, nil),
		)
		rec, broken := b.call(adapterRequest)
		if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want {
			t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
		}
		if got, limit := time.Since(began), 3*time.Second; got > limit {
			t.Errorf("whole after %v, want %v at most", got, limit)
		}
	})
}

// A silent stream is cut for a turn at another engine, which then rejects it, as the next ones do for a moment.
func TestMovedStreamIsRetriedUntilNotRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		cuts := 0
		reject := answers(http.StatusServiceUnavailable, http.Header{headNotRun: {"1"}}, "", nil)
		rest := answers(http.StatusOK, nil, lastEvent, nil)
		b.setAnswers(pausesFor(time.Minute, &cuts), reject, reject, reject, rest)
		rec, broken := b.call(adapterRequest)
		if got, want := rec.Body.String(), firstEvent+lastEvent; got != want || broken {
			t.Errorf("answer = %q, broken off: %v, want %q whole", got, broken, want)
		}
	})
}

// An engine breaks off during a stream, and all others reject it for a moment. Sent to each of them without a pause, the stream
// would use up the retry budget that all requests share.
func TestRejectedStreamDoesNotExhaustTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHolderBench(t, true)
		for _, id := range []string{"three", "four", "five", "six", "seven", "eight", "nine", "ten"} {
			b.add(id, map[string]int{"m/a": 1})
		}
		b.setAnswers(answers(http.StatusOK, nil, firstEvent, errors.New("reset")))
		for range 100 {
			b.answers = append(b.answers, func(s sent) (resp.Resp, error) {
				if time.Since(b.start) > time.Second {
					return answers(http.StatusOK, nil, lastEvent, nil)(s)
				}
				return answers(http.StatusServiceUnavailable, http.Header{headNotRun: {"1"}}, "", nil)(s)
			})
		}
		rec, broken := b.call(adapterRequest)
		if got, want := rec.Body.String(), firstEvent+lastEvent; got != want || broken {
			t.Errorf("answer = %q, broken off: %v, want %q whole", got, broken, want)
		}
		if got, limit := len(b.sent), 8; got > limit {
			t.Errorf("sends = %d within a second, want %d at most", got, limit)
		}
	})
}
