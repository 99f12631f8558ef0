package direct_test

import (
	"errors"
	"net/http"
	"testing"
)

// A caller whose connection broke comes back with the id of the last event that it has. Where that id does not reach the
// engine, the stream begins anew and the caller gets pieces twice.
func TestCallerResumesBehindItsLastEvent(t *testing.T) {
	b := newBench(t, streamRoute())
	b.then(answers(200, nil, "id: 8\ndata: x\n\n", nil))
	rec, _ := b.call(http.Header{headLast: {"7"}})
	if got, want := b.sent[0].extra.Get(headLast), "7"; got != want {
		t.Errorf("last event passed on = %q, want %q", got, want)
	}
	if got, want := rec.Body.String(), "id: 8\ndata: x\n\n"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}

// An engine crashes in the middle of an event. The stream goes on at another engine behind the last whole event, and the
// caller sees one stream in which nothing is missing and nothing comes twice.
func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	b := newBench(t, streamRoute())
	b.then(
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
	if got, want := b.sent[1].extra.Get(headLast), "1"; got != want {
		t.Errorf("resumed behind %q, want %q", got, want)
	}
	if b.sent[0].addr == b.sent[1].addr {
		t.Errorf("resumed at %s, want another engine", b.sent[1].addr)
	}
}

// A stream that must not run twice breaks off. The caller must not take what it has for the whole answer, so the
// connection is broken off too.
func TestStreamThatMayNotRunTwiceBreaksOff(t *testing.T) {
	rt := streamRoute()
	rt.Resumable = false
	b := newBench(t, rt)
	b.then(answers(200, nil, "id: 1\ndata: a\n\n", errors.New("reset")))
	if _, broken := b.call(nil); !broken {
		t.Error("the answer looks whole, want the connection broken off")
	}
}

// An engine that goes on leaves out an event. Passed on, the caller would miss a piece without noticing.
func TestStreamWithAMissingEventBreaksOff(t *testing.T) {
	rt := streamRoute()
	rt.Resumable = false
	b := newBench(t, rt)
	b.then(answers(200, nil, "id: 1\ndata: a\n\nid: 3\ndata: c\n\n", nil))
	rec, broken := b.call(nil)
	if !broken {
		t.Error("the answer looks whole, want the connection broken off")
	}
	if got, want := rec.Body.String(), "id: 1\ndata: a\n\n"; got != want {
		t.Errorf("body = %q, want %q", got, want)
	}
}

// The engine at which a stream should go on answers with an error. Were that answer passed on behind the events that the
// caller has, the stream would end as if it were whole.
func TestStreamThatIsNotResumedBreaksOff(t *testing.T) {
	b := newBench(t, streamRoute())
	b.then(
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
