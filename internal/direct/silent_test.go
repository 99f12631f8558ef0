package direct_test

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

// held is a request for an adapter.
var held = http.Header{"M": {"m"}, "A": {"m/a"}}

// pausing returns an answer of two events with a pause between them. Cut ends it at once, as closing its connection does; cuts counts that.
func pausing(pause time.Duration, cuts *int) func(s sent) (resp.Resp, error) {
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
		end := func() { *cuts++; close(cut) }
		return resp.Resp{Status: http.StatusOK, Header: http.Header{}, Body: r, Cut: end, Close: func() {}}, nil
	}
}

// silentBench is a bench of two engines that hold the adapter.
func silentBench(t *testing.T, resumable bool) *bench {
	rt := streamRoute()
	rt.Resumable = resumable
	b := newBench(t, rt)
	b.add("one", map[string]int{"m/a": 1})
	b.add("two", map[string]int{"m/a": 1})
	return b
}

// An engine that has too much to do pauses for seconds, and no other one has room. Cut off and queued like a new request, the stream would find
// no place, and its caller would lose an answer that the engine is still making.
func TestSilentStreamStaysWhereNoOtherEngineHasRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, true)
		asked := 0
		b.Admit = func(context.Context, intent.Intent) error {
			if asked++; asked > 1 {
				return intent.ErrLoadQueueFull
			}
			return nil
		}
		cuts := 0
		b.then(pausing(5*time.Second, &cuts))
		rec, broken := b.call(held)
		if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want {
			t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
		}
		if asked < 2 || cuts > 0 {
			t.Errorf("asked for a place %d times, cut %d times, want some and none", asked, cuts)
		}
	})
}

// An engine goes dark without a reset. The stream goes on elsewhere, and the first engine has lost its connection before the second gets the
// request: two engines at work on one request would be paid for twice.
func TestSilentStreamGoesOnOnceItHasAPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, true)
		cuts := 0
		b.then(pausing(time.Hour, &cuts), func(s sent) (resp.Resp, error) {
			if cuts != 1 {
				t.Errorf("first engine cut %d times before the second was asked, want once", cuts)
			}
			return answers(http.StatusOK, nil, lastEvent, nil)(s)
		})
		began := time.Now()
		rec, broken := b.call(held)
		if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want {
			t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
		}
		if got, most := time.Since(began), 2*time.Second; got > most {
			t.Errorf("whole after %v, want %v at most", got, most)
		}
		if b.sent[0].addr == b.sent[1].addr {
			t.Errorf("went on at %s, want another engine", b.sent[1].addr)
		}
	})
}

// While a place is looked for, the engine goes on by itself. The stream stays there; moved all the same, its prompt would be read twice.
func TestStreamThatGoesOnByItselfStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, true)
		asked := 0
		b.Admit = func(ctx context.Context, _ intent.Intent) error {
			if asked++; asked > 1 {
				<-ctx.Done()
				return ctx.Err()
			}
			return nil
		}
		cuts := 0
		b.then(pausing(1300*time.Millisecond, &cuts))
		rec, broken := b.call(held)
		if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want || cuts > 0 {
			t.Errorf("answer = %q, broken off = %v, %d cuts, want %q whole and uncut", got, broken, cuts, want)
		}
		if asked < 2 {
			t.Error("no place was looked for")
		}
	})
}

// A stream that must not run twice falls silent. There is nowhere to go on, and what its engine makes later is still the caller's.
func TestSilentStreamThatMayNotRunTwiceIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, false)
		cuts := 0
		b.then(pausing(5*time.Second, &cuts))
		rec, broken := b.call(held)
		if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want {
			t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
		}
	})
}

// An engine crashes under a stream, and all others are full for two seconds. Refused like a request that has not begun, the caller would lose the
// part that it has; it gets the rest late.
func TestCutStreamWaitsForAPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, true)
		began := time.Now()
		b.Admit = func(_ context.Context, w intent.Intent) error {
			if w.Streaming && time.Since(began) < 2*time.Second {
				return intent.ErrLoadQueueFull
			}
			return nil
		}
		b.then(
			answers(http.StatusOK, nil, firstEvent, errors.New("reset")),
			answers(http.StatusOK, nil, lastEvent, nil),
		)
		rec, broken := b.call(held)
		if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want {
			t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
		}
		if got, most := time.Since(began), 3*time.Second; got > most {
			t.Errorf("whole after %v, want %v at most", got, most)
		}
	})
}

// A silent stream was cut for a place that then rejects it, and the next ones do so too, for a moment.
func TestStreamThatWasMovedGoesOnWhereItIsNotRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, true)
		cuts := 0
		reject := answers(http.StatusServiceUnavailable, http.Header{headNot: {"1"}}, "", nil)
		rest := answers(http.StatusOK, nil, lastEvent, nil)
		b.then(pausing(time.Minute, &cuts), reject, reject, reject, rest)
		rec, broken := b.call(held)
		if got, want := rec.Body.String(), firstEvent+lastEvent; got != want || broken {
			t.Errorf("answer = %q, broken off: %v, want %q whole", got, broken, want)
		}
	})
}

// An engine breaks off under a stream, and all others reject it for a moment: sent to each of them at once, the stream would use up the repeats that
// all requests share, for nothing.
func TestStreamThatIsRejectedDoesNotUseUpTheRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := silentBench(t, true)
		for _, id := range []string{"three", "four", "five", "six", "seven", "eight", "nine", "ten"} {
			b.add(id, map[string]int{"m/a": 1})
		}
		b.then(answers(http.StatusOK, nil, firstEvent, errors.New("reset")))
		for range 100 {
			b.answers = append(b.answers, func(s sent) (resp.Resp, error) {
				if time.Since(b.begun) > time.Second {
					return answers(http.StatusOK, nil, lastEvent, nil)(s)
				}
				return answers(http.StatusServiceUnavailable, http.Header{headNot: {"1"}}, "", nil)(s)
			})
		}
		rec, broken := b.call(held)
		if got, want := rec.Body.String(), firstEvent+lastEvent; got != want || broken {
			t.Errorf("answer = %q, broken off: %v, want %q whole", got, broken, want)
		}
		if got, most := len(b.sent), 8; got > most {
			t.Errorf("sends = %d within a second, want %d at most", got, most)
		}
	})
}
