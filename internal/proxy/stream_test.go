package proxy_test

import (
	"errors"
	"net/http"
	"testing"
)

// A caller reconnects with the id of the last event that it has. If the id did not reach the engine, the caller would get events twice.
func TestCallerResumesBehindItsLastEvent(t *testing.T) {
	b := newBench(t, streamRoute())
	b.setAnswers(answers(200, nil, "id: 8\ndata: x\n\n", nil))
	rec, _ := b.call(http.Header{headLastEvent: {"7"}})
	if got, want := b.sent[0].extra.Get(headLastEvent), "7"; got != want {
		t.Errorf("last event passed on = %q, want %q", got, want)
	}
	if got, want := rec.Body.String(), "id: 8\ndata: x\n\n"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}

// An engine crashes in the middle of an event. The stream continues at another engine after the last whole event, with no event
// missing or repeated.
func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	b := newBench(t, streamRoute())
	b.setAnswers(
		answers(200, http.Header{"Fake-Stamp": {"first"}}, "id: 1\ndata: a\n\nid: 2\nda", errors.New("reset")),
		answers(200, http.Header{"Fake-Stamp": {"second"}}, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", nil),
	)
	rec, broken := b.call(nil)
	if broken {
		t.Fatal("the stream broke off, want it whole")
	}
	if got, want := rec.Body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
	if got, want := rec.Header().Get("Fake-Stamp"), "first"; got != want {
		t.Errorf("header = %q, want that of the %s engine", got, want)
	}
	if got, want := b.sent[1].extra.Get(headLastEvent), "1"; got != want {
		t.Errorf("resumed behind %q, want %q", got, want)
	}
	if b.sent[0].addr == b.sent[1].addr {
		t.Errorf("resumed at %s, want another engine", b.sent[1].addr)
	}
}

// A stream that must not run twice breaks off. The connection is broken off too, so that the caller doesn't take the part for
// the whole answer.
func TestStreamThatMayNotRunTwiceBreaksOff(t *testing.T) {
	rt := streamRoute()
	rt.Resumable = false
	b := newBench(t, rt)
	b.setAnswers(answers(200, nil, "id: 1\ndata: a\n\n", errors.New("reset")))
	if _, broken := b.call(nil); !broken {
		t.Error("the answer looks whole, want the connection broken off")
	}
}

// An engine skips an event. If the next one were passed on, the caller would not notice the gap.
func TestStreamWithAMissingEventBreaksOff(t *testing.T) {
	rt := streamRoute()
	rt.Resumable = false
	b := newBench(t, rt)
	b.setAnswers(answers(200, nil, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n", nil))
	rec, broken := b.call(nil)
	if !broken {
		t.Error("the answer looks whole, want the connection broken off")
	}
	if got, want := rec.Body.String(), "id: 1\ndata: a\n\n"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}

// The engine that is to continue a stream answers with an error. Passed on after the events that the caller has, it would look
// like the stream's end.
func TestStreamThatIsNotResumedBreaksOff(t *testing.T) {
	b := newBench(t, streamRoute())
	b.setAnswers(
		answers(200, nil, "id: 1\ndata: a\n\n", errors.New("reset")),
		answers(500, nil, "no", nil),
	)
	rec, broken := b.call(nil)
	if !broken {
		t.Error("the answer looks whole, want the connection broken off")
	}
	if got, want := rec.Body.String(), "id: 1\ndata: a\n\n"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}
