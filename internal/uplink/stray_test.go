package uplink_test

import (
	"errors"
	"testing"

	"damaskreach/internal/uplink"
	"damaskreach/pkg/verd"
)

const (
	// unnamedShed and unnamedGood do not say to which request they belong.
	unnamedShed = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	unnamedGood = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
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

// On a new connection nothing else can have been answered: an upstream that rejects the request may leave out its id, as one that has taken over another's
// address does. Any other answer must name the request.
func TestNewConnectionMayRejectWithoutID(t *testing.T) {
	for _, c := range []struct {
		text string
		want error
	}{{unnamedShed, nil}, {unnamedGood, uplink.ErrStray}} {
		s := newServer(t, c.text)
		if _, err := ask(t, newUplink(), s, "1"); !errors.Is(err, c.want) || err != nil && verd.Of(err) != verd.MayHaveRun {
			t.Errorf("answer %q: error = %v, want %v that leaves open whether the request has run", c.text, err, c.want)
		}
	}
}
