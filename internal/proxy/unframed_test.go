package proxy_test

import (
	"net/http"
	"testing"
	"time"

	"damaskreach/internal/kinds"
	"damaskreach/internal/resp"
	"damaskreach/internal/route"
)

// unframed returns an answer whose end is marked by that of its connection alone.
func unframed(body string) func(s sent) (resp.Resp, error) {
	return func(s sent) (resp.Resp, error) {
		r, err := answers(http.StatusOK, nil, body, nil)(s)
		r.Unframed = true
		return r, err
	}
}

// An engine crashes between two events of a stream that has neither length nor chunks, so that its connection ends as it does behind the last
// event. Taken for whole, the stream would lack its end without anybody noticing.
func TestStreamThatEndsWithItsEngineGoesOn(t *testing.T) {
	b := newBench(t, streamRoute())
	b.crashed = map[string]bool{"one:1": true, "two:1": true}
	b.setAnswers(unframed(firstEvent), answers(http.StatusOK, nil, lastEvent, nil))
	rec, broken := b.call(nil)
	if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want {
		t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
	}
}

// The same happens before the first event. The caller must not get an empty answer as if that were all.
func TestStreamThatEndsBeforeItsFirstEventIsNotWhole(t *testing.T) {
	b := newBench(t, streamRoute())
	b.setAnswers(unframed(""), answers(http.StatusOK, nil, firstEvent, nil))
	rec, broken := b.call(nil)
	if got, want := rec.Body.String(), firstEvent; broken || got != want {
		t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
	}
}

// An engine ends a stream with its connection and lives on: that is how it marks the end.
func TestStreamThatEndsWithItsConnectionIsWhole(t *testing.T) {
	b := newBench(t, streamRoute())
	b.setAnswers(unframed(firstEvent + lastEvent))
	rec, broken := b.call(nil)
	if got, want := rec.Body.String(), firstEvent+lastEvent; broken || got != want {
		t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
	}
}

// An upstream crashes in the middle of an answer that has neither length nor chunks. The part must not reach the caller as the whole.
func TestAnswerThatEndsWithItsUpstreamIsNotWhole(t *testing.T) {
	b := newBench(t, route.Route{Kind: kinds.Idempotent, Attempts: 2, Target: time.Second})
	b.crashed = map[string]bool{"one:1": true, "two:1": true}
	b.setAnswers(unframed("ha"), answers(http.StatusOK, nil, "half", nil))
	rec, broken := b.call(nil)
	if got, want := rec.Body.String(), "half"; broken || got != want {
		t.Errorf("answer = %q, broken off = %v, want %q whole", got, broken, want)
	}
}
