package uplink_test

import (
	"io"
	"testing"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/resp"
)

// shed rejects request 1 by name.
const shed = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"

// rejected sends request 1 and returns its rejection, which has been read.
func rejected(t *testing.T, s *server) resp.Resp {
	t.Helper()
	d := demand.Demand{ID: "1", Method: "POST", Host: "a", URI: "/x"}
	r, err := newUplink().Do(t.Context(), s.l.Addr().String(), d, nil, func() bool { return true })
	if err != nil {
		t.Fatalf("Do() = %v, want nil", err)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || !r.Rejected {
		t.Fatalf("rejected = %v, body read with %v, want it rejected and nil", r.Rejected, err)
	}
	return r
}

// An upstream rejects a booking and runs it all the same. Its answer must be found, or the booking would run again elsewhere.
func TestAnswerBehindARejectionIsFound(t *testing.T) {
	for _, between := range []string{"", unnamedShed, answer("2", "two")} {
		s := newServer(t, shed+between+answer("1", "one"))
		r := rejected(t, s)
		later, ok := r.Later(10 * time.Second)
		if !ok {
			t.Fatalf("behind %q: Later() = false, want an answer", between)
		}
		if got, err := io.ReadAll(later.Body); string(got) != "one" || err != nil || later.Rejected {
			t.Errorf("behind %q: answer = %q, %v, rejected %v, want %q", between, got, err, later.Rejected, "one")
		}
		later.Close()
		r.Close()
	}
}

// An upstream that has rejected a booking says nothing more. The wait must end, and so must the connection: a booking that the upstream kept
// all the same would run later.
func TestRejectionThatStandsEndsItsConnection(t *testing.T) {
	s := newServer(t, shed, answer("2", "two"))
	r := rejected(t, s)
	if _, ok := r.Later(20 * time.Millisecond); ok {
		t.Error("Later() = true, want no answer")
	}
	r.Close()
	select {
	case <-s.gone:
	case <-time.After(10 * time.Second):
		t.Error("the connection is open, want it closed")
	}
}
