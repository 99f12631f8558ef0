package uplink_test

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// An upstream ends behind its answer, which shows in nothing but its idle connections. Either they are looked at, or the next request finds them closed before anybody looked.
func TestConnectionsClosedBehindAnAnswerAreTold(t *testing.T) {
	for name, within := range map[string]time.Duration{"looked at": time.Minute, "found by the next request": 0} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, slices.Repeat([]string{answer("1", "one")}, 1000)...)
			s.closing = true
			u := newUplink()
			var lost []string
			for end := time.Now().Add(5 * time.Second); len(lost) == 0 && time.Now().Before(end); lost = u.Lost(within) {
				if got, err := ask(t, u, s, "1"); err != nil && !strings.Contains(err.Error(), "EOF") && !strings.Contains(err.Error(), "reset") {
					t.Fatalf("answer = %q, %v, want one, or the connection closed", got, err)
				}
				select {
				case <-s.seen:
				default: // it met a connection that was just closed
				}
			}
			if want := []string{s.l.Addr().String()}; !slices.Equal(lost, want) {
				t.Errorf("lost = %v, want %v", lost, want)
			}
			if again := u.Lost(within); len(again) > 0 {
				t.Errorf("lost again = %v, want it told once", again)
			}
		})
	}
}

// An upstream goes on behind its answer. It must not be looked at.
func TestOpenConnectionTellsNothing(t *testing.T) {
	s := newServer(t, answer("1", "one"))
	u := newUplink()
	if _, err := ask(t, u, s, "1"); err != nil {
		t.Fatalf("answer: %v, want one", err)
	}
	if lost := u.Lost(time.Minute); len(lost) > 0 {
		t.Errorf("lost = %v while the connection is open, want none", lost)
	}
}
