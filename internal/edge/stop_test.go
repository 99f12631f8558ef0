//go:build !race

package edge_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/edge"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/setup"
)

const (
	// lastAccepted is a little less than the time after the signal for which a stopping host accepts requests.
	lastAccepted = 1950 * time.Millisecond
	// idleClosed is how long after the signal idle connections are closed.
	idleClosed = 2500 * time.Millisecond
	// longTimeout is how long the route lets a request wait in these tests, beyond the end of a host.
	longTimeout = 20 * time.Second
)

// stoppingHost is a host that is told to stop, and a caller's connection to it.
type stoppingHost struct {
	*teamFleet
	host string
	stop context.CancelFunc
	conn net.Conn
}

// withStoppingHost runs test with a host and a connection that has had one answer.
func withStoppingHost(t *testing.T, test func(t *testing.T, s stoppingHost)) {
	t.Helper()
	withStoppingHostAdapted(t, func(*edge.Edge) {}, test)
}

// withStoppingHostAdapted is withStoppingHost with a function that changes the host before it starts.
func withStoppingHostAdapted(t *testing.T, adapt func(e *edge.Edge), test func(t *testing.T, s stoppingHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newTeamFleetOf(t, 1, 1, 1, unlimitedTeams, func(e *edge.Edge, _ *setup.Setup) {
			adapt(e)
			decode, config := e.DecodeRequest, e.DecodeRules
			e.DecodeRequest = func(r *http.Request) (demand.Demand, error) {
				d, err := decode(r)
				d.Wait = longTimeout
				return d, err
			}
			e.DecodeRules = func(row rows.Row) (rules.Rules, bool, error) {
				r, ok, err := config(row)
				if ok {
					r.Routes["a.example"][0].Timeout = longTimeout
				}
				return r, ok, err
			}
		})
		ctx, stop := context.WithCancel(t.Context())
		s := stoppingHost{teamFleet: p, host: hostIP(1), stop: stop}
		s.start(ctx, 1)
		time.Sleep(5 * time.Second)
		conn, err := s.net.Dial(callerIP)(t.Context(), s.host+":8000")
		if err != nil {
			t.Fatalf("connecting to the host: %v", err)
		}
		defer conn.Close()
		s.conn = conn
		s.send(t, request("first"))
		if got, want := s.readAnswer(t, "before the signal"), http.StatusOK; got != want {
			t.Fatalf("answer before the signal = %d, want %d", got, want)
		}
		test(t, s)
	})
}

func request(id string) string {
	return "POST /x HTTP/1.1\r\nHost: a.example\r\n" + headID + ": " + id + "\r\n" + headKey + ": key of red\r\n" + headUnits +
		": 1\r\nContent-Length: 0\r\n\r\n"
}

func (s stoppingHost) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(s.conn, text); err != nil {
		t.Fatalf("sending: %v", err)
	}
}

// readAnswer reads one complete answer and returns its status; the test fails if the connection ends before.
func (s stoppingHost) readAnswer(t *testing.T, when string) int {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(s.conn), nil)
	if err != nil {
		t.Fatalf("answer %s: %v, want a complete one", when, err)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.Fatalf("body of the answer %s: %v, want a complete one", when, err)
	}
	return r.StatusCode
}

// stoppedAt returns when the process on the host ended.
func (s stoppingHost) stoppedAt(t *testing.T) time.Time {
	t.Helper()
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, l := range s.fleet.logged {
		if l.host == s.host && l.text == "stopped" {
			return l.at
		}
	}
	t.Fatal("the program has not ended")
	return time.Time{}
}

// A stopping host closes its idle connections while an answer is still being sent to a slow reader.
func TestStoppingHostCompletesItsAnswers(t *testing.T) {
	withStoppingHost(t, func(t *testing.T, s stoppingHost) {
		s.stop()
		time.Sleep(lastAccepted)
		s.send(t, request("slow"))
		s.net.SetBuffer(40)
		time.Sleep(idleClosed - lastAccepted)
		if got, want := s.readAnswer(t, "to a slow reader"), http.StatusOK; got != want {
			t.Errorf("answer to a slow reader = %d, want %d", got, want)
		}
	})
}

// A stopping host closes its idle connections while it is reading a request from one of them.
func TestStoppingHostAnswersPartlyReadRequest(t *testing.T) {
	withStoppingHost(t, func(t *testing.T, s stoppingHost) {
		s.stop()
		time.Sleep(lastAccepted)
		text := request("parts")
		half := strings.Index(text, headKey)
		s.send(t, text[:half])
		time.Sleep(idleClosed - lastAccepted)
		s.send(t, text[half:])
		if got, want := s.readAnswer(t, "to a request in parts"), http.StatusServiceUnavailable; got != want {
			t.Errorf("answer to a request in parts = %d, want %d", got, want)
		}
	})
}

// A host is told to stop while it has a request's head and a part of its body. Passed on when the rest has come, late in the grace period, the request would be cut
// off at its end, though nothing kept another host from serving it.
func TestStoppingHostRefusesRequestWhoseBodyCameLate(t *testing.T) {
	withStoppingHost(t, func(t *testing.T, s stoppingHost) {
		s.mu.Lock()
		s.serviceTime = longTimeout
		s.mu.Unlock()
		s.stop()
		s.send(t, strings.Replace(request("late"), "Content-Length: 0", "Content-Length: 8", 1)+"half")
		time.Sleep(idleClosed)
		s.send(t, "half")
		if got, want := s.readAnswer(t, "to a request with a late body"), http.StatusServiceUnavailable; got != want {
			t.Errorf("answer to a request with a late body = %d, want %d", got, want)
		}
	})
}

// A host exits while a request that it accepted waits for an upstream that does not answer.
func TestStoppingHostAnswersWaitingRequest(t *testing.T) {
	withStoppingHost(t, func(t *testing.T, s stoppingHost) {
		s.mu.Lock()
		s.serviceTime = longTimeout
		s.mu.Unlock()
		s.stop()
		time.Sleep(lastAccepted)
		s.send(t, request("waits"))
		if got, want := s.readAnswer(t, "to a request that waits"), http.StatusBadGateway; got != want {
			t.Errorf("answer to a request that waits = %d, want %d", got, want)
		}
		answered := time.Now()
		time.Sleep(longTimeout)
		ended := s.stoppedAt(t)
		if !answered.Before(ended) {
			t.Errorf("answered %v after the program ended, want before", answered.Sub(ended))
		}
	})
}
