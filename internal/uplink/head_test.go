package uplink_test

import (
	"testing"

	"damaskreach/pkg/verd"
)

// An upstream stops in the middle of a head and closes. The part that came must not pass for an answer without a body.
func TestHeadThatStopsIsNoAnswer(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\n"
	for end := range len(whole) {
		s := newServer(t, whole[:end])
		s.closing = true
		_, err := ask(t, newUplink(), s, "1")
		if got, want := verd.Of(err), verd.MayHaveRun; err == nil || got != want {
			t.Errorf("%q: error %v with verdict %v, want one with verdict %v", whole[:end], err, got, want)
		}
	}
}

// An upstream stops in the middle of a head and begins the next answer. Read as one head, the status of the first would go with the body of the second: an
// error would reach the caller as a success, or a run as a rejection.
func TestTwoHeadsThatRanTogetherAreNoAnswer(t *testing.T) {
	for _, half := range []string{"HTTP/1.1 200 OK\r\nServer: a", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1", "HTTP/1.1 503 No\r\nNot-Run: 1\r\nServer:", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nServer", "HTTP/1."} {
		s := newServer(t, half+"HTTP/1.1 500 Failed\r\nId: 1\r\nContent-Length: 6\r\n\r\nfailed")
		got, err := ask(t, newUplink(), s, "1")
		if verdict, want := verd.Of(err), verd.MayHaveRun; err == nil || verdict != want {
			t.Errorf("behind %q: answer %q, %v with verdict %v, want an error with verdict %v", half, got, err, verdict, want)
		}
	}
}

// An upstream stops anywhere in an answer, its head or its body, and closes. What came of the answer must not pass for a whole one with a short body.
func TestAnswerThatStopsAnywhereIsNotWhole(t *testing.T) {
	for _, whole := range []string{
		answer("1", "one"), "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Type: text/event-stream\r\nId: 1\r\n\r\nid: 1\ndata\n\n",
	} {
		for end := range len(whole) {
			s := newServer(t, whole[:end])
			s.closing = true
			if got, err := ask(t, newUplink(), s, "1"); err == nil {
				t.Errorf("%q: answer %q without an error, want one", whole[:end], got)
			}
		}
		if _, err := ask(t, newUplink(), newServer(t, whole), "1"); err != nil {
			t.Errorf("%q: error %v, want none", whole, err)
		}
	}
}
