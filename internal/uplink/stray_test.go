package uplink_test

import (
	"errors"
	"testing"

	"damaskreach/internal/demand"
	"damaskreach/internal/doubt"
	"damaskreach/internal/uplink"
	"damaskreach/pkg/verd"
)

const (
	// unnamedShed and unnamedGood do not say to which request they belong.
	unnamedShed = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	unnamedGood = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
	// unnamedOther is the answer of another upstream than the one that the request expects.
	unnamedOther = "HTTP/1.1 421 Misdirected Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
)

// An upstream has answered and sends bytes of no request, which come before the answer to the next one. Taken for that answer, they would have a booking
// sent again that runs, or reach a caller.
func TestBytesOfNoRequestAreNoAnswer(t *testing.T) {
	for _, stray := range []string{unnamedShed, unnamedGood, unnamedShed + unnamedGood} {
		s := newServer(t, answer("1", "one"), stray+answer("2", "two"))
		u := newUplink()
		for _, c := range []struct{ id, want string }{{"1", "one"}, {"2", "two"}} {
			got, err := ask(t, u, s, c.id)
			if err != nil || got != c.want {
				t.Errorf("behind %q: answer to %s = %q, %v, want %q", stray, c.id, got, err, c.want)
			}
		}
	}
}

// An upstream sends answers of no request without end. It must cost the connection, and the request's verdict must stay true.
func TestBytesOfNoRequestWithoutEndLeaveTheVerdictOpen(t *testing.T) {
	s := newServer(t, answer("1", "one"), unnamedShed+unnamedShed+unnamedShed+unnamedShed, answer("3", "three"))
	u := newUplink()
	if _, err := ask(t, u, s, "1"); err != nil {
		t.Fatalf("first answer: %v, want none", err)
	}
	_, err := ask(t, u, s, "2")
	if got, want := verd.Of(err), verd.MayHaveRun; !errors.Is(err, uplink.ErrStray) || got != want {
		t.Errorf("error = %v with verdict %v, want %v and %v", err, got, uplink.ErrStray, want)
	}
	if got, err := ask(t, u, s, "3"); err != nil || got != "three" {
		t.Errorf("third answer = %q, %v, want three", got, err)
	}
}

// An upstream sends bytes of no request before its first answer on a new connection. Taken for that answer, they would have a booking sent again that
// runs, or reach a caller.
func TestBytesOfNoRequestAreNoAnswerOnANewConnection(t *testing.T) {
	for _, stray := range []string{unnamedShed, unnamedGood, unnamedShed + unnamedGood} {
		s := newServer(t, stray+answer("1", "one"))
		if got, err := ask(t, newUplink(), s, "1"); err != nil || got != "one" {
			t.Errorf("behind %q: answer = %q, %v, want %q", stray, got, err, "one")
		}
	}
}

// An upstream sends only bytes of no request on a new connection and closes it. The verdict must leave open whether the request has run.
func TestBytesOfNoRequestAloneLeaveTheVerdictOpen(t *testing.T) {
	for _, stray := range []string{unnamedShed, unnamedGood} {
		s := newServer(t, stray, "")
		s.closing = true
		if _, err := ask(t, newUplink(), s, "1"); err == nil || verd.Of(err) != verd.MayHaveRun {
			t.Errorf("answer %q: error = %v, want one that leaves open whether the request has run", stray, err)
		}
	}
}

// What has taken over an upstream's address rejects the first request of a connection and need not name it. Waiting on would hold the request until its
// deadline.
func TestAnotherUpstreamMayRejectWithoutID(t *testing.T) {
	s := newServer(t, unnamedOther)
	d := demand.Demand{ID: "1", Method: "POST", Host: "a", URI: "/x"}
	r, err := newUplink().Do(t.Context(), s.l.Addr().String(), d, nil, func() bool { return true })
	if err != nil {
		t.Fatalf("Do() = %v, want nil", err)
	}
	defer r.Close()
	if got, want := r.Verdict(false), verd.MayHaveRun; !r.Rejected || r.Doubt != doubt.Unnamed || got != want {
		t.Errorf("rejected = %v with doubt %v and verdict %v, want it rejected with doubt %v and verdict %v", r.Rejected, r.Doubt, got, doubt.Unnamed, want)
	}
	if got, want := r.Verdict(true), verd.NotRun; got != want {
		t.Errorf("verdict of a request that may run again = %v, want %v", got, want)
	}
}
