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
	// lastTaken is how long after the signal a host that stops still takes requests, a little less than it does.
	lastTaken = 1950 * time.Millisecond
	// idleClosed is how long after the signal it has closed the connections that were idle.
	idleClosed = 2500 * time.Millisecond
	// forLong is how long the route lets a request wait in these tests, beyond the end of a host.
	forLong = 20 * time.Second
)

// stopping is a host that is told to stop, and a caller's connection to it.
type stopping struct {
	*payers
	host string
	stop context.CancelFunc
	conn net.Conn
}

// onStopping calls test with a host and a connection that has had one answer.
func onStopping(t *testing.T, test func(t *testing.T, s stopping)) {
	t.Helper()
	onStoppingOf(t, func(*edge.Edge) {}, test)
}

// onStoppingOf changes the host before it starts.
func onStoppingOf(t *testing.T, adapt func(e *edge.Edge), test func(t *testing.T, s stopping)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := newPayersOf(t, 1, 1, 1, unlimited, func(e *edge.Edge, _ *setup.Setup) {
			adapt(e)
			decode, config := e.Decode, e.Rules
			e.Decode = func(r *http.Request) (demand.Demand, error) {
				d, err := decode(r)
				d.Wait = forLong
				return d, err
			}
			e.Rules = func(row rows.Row) (rules.Rules, bool, error) {
				r, ok, err := config(row)
				if ok {
					r.Routes["a.example"][0].Timeout = forLong
				}
				return r, ok, err
			}
		})
		ctx, stop := context.WithCancel(t.Context())
		s := stopping{payers: p, host: hostIP(1), stop: stop}
		s.start(ctx, 1)
		time.Sleep(5 * time.Second)
		conn, err := s.net.Dial(callerIP)(t.Context(), s.host+":8000")
		if err != nil {
			t.Fatalf("connecting to the host: %v", err)
		}
		defer conn.Close()
		s.conn = conn
		s.send(t, request("first"))
		if got, want := s.answer(t, "before the signal"), http.StatusOK; got != want {
			t.Fatalf("answer before the signal = %d, want %d", got, want)
		}
		test(t, s)
	})
}

func request(id string) string {
	return "POST /x HTTP/1.1\r\nHost: a.example\r\n" + headID + ": " + id + "\r\n" + headKey + ": key of red\r\n" + headUnits +
		": 1\r\nContent-Length: 0\r\n\r\n"
}

func (s stopping) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(s.conn, text); err != nil {
		t.Fatalf("sending: %v", err)
	}
}

// answer reads one whole answer and returns its status; a connection that ends before is a failure.
func (s stopping) answer(t *testing.T, when string) int {
	t.Helper()
	r, err := http.ReadResponse(bufio.NewReader(s.conn), nil)
	if err != nil {
		t.Fatalf("answer %s: %v, want a whole one", when, err)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.Fatalf("body of the answer %s: %v, want a whole one", when, err)
	}
	return r.StatusCode
}

// stoppedAt returns when the program on the host ended.
func (s stopping) stoppedAt(t *testing.T) time.Time {
	t.Helper()
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, l := range s.fleet.said {
		if l.host == s.host && l.text == "stopped" {
			return l.at
		}
	}
	t.Fatal("the program has not ended")
	return time.Time{}
}

// A host that stops closes its idle connections while an answer is still on its way to a caller that reads slowly.
func TestHostThatStopsWritesItsAnswersToTheirEnds(t *testing.T) {
	onStopping(t, func(t *testing.T, s stopping) {
		s.stop()
		time.Sleep(lastTaken)
		s.send(t, request("slow"))
		s.net.SetBuffer(40)
		time.Sleep(idleClosed - lastTaken)
		if got, want := s.answer(t, "to a slow reader"), http.StatusOK; got != want {
			t.Errorf("answer to a slow reader = %d, want %d", got, want)
		}
	})
}

// A host that stops closes its idle connections while a request is being read from one of them.
func TestHostThatStopsAnswersARequestReadInPart(t *testing.T) {
	onStopping(t, func(t *testing.T, s stopping) {
		s.stop()
		time.Sleep(lastTaken)
		text := request("parts")
		half := strings.Index(text, headKey)
		s.send(t, text[:half])
		time.Sleep(idleClosed - lastTaken)
		s.send(t, text[half:])
		if got, want := s.answer(t, "to a request in parts"), http.StatusServiceUnavailable; got != want {
			t.Errorf("answer to a request in parts = %d, want %d", got, want)
		}
	})
}

// A host ends while a request that it has taken waits at an upstream that does not answer.
func TestHostThatStopsAnswersWhatStillWaits(t *testing.T) {
	onStopping(t, func(t *testing.T, s stopping) {
		s.mu.Lock()
		s.takes = forLong
		s.mu.Unlock()
		s.stop()
		time.Sleep(lastTaken)
		s.send(t, request("waits"))
		if got, want := s.answer(t, "to a request that waits"), http.StatusBadGateway; got != want {
			t.Errorf("answer to a request that waits = %d, want %d", got, want)
		}
		answered := time.Now()
		time.Sleep(forLong)
		ended := s.stoppedAt(t)
		if !answered.Before(ended) {
			t.Errorf("answered %v after the program ended, want before", answered.Sub(ended))
		}
	})
}
