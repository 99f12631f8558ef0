//go:build !race

package edge_test

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"damaskreach/internal/edge"
)

// errPort is the error of the failing port.
var errPort = errors.New("accept: no buffer space available")

// failingPort is a listener that fails once fail is closed.
type failingPort struct {
	net.Listener
	fail <-chan struct{}
}

func (p failingPort) Accept() (net.Conn, error) {
	<-p.fail
	return nil, errPort
}

// The port of the readiness probe fails while a request is in flight. If the host exited at once, the request would get no answer.
func TestHostWithFailedPortAnswersRequestsInFlight(t *testing.T) {
	var fail chan struct{}
	withStoppingHostAdapted(t, func(e *edge.Edge) {
		fail = make(chan struct{})
		listen := e.Listen
		e.Listen = func(addr string) (net.Listener, error) {
			l, err := listen(addr)
			if addr == hostIP(1)+":8001" {
				l = failingPort{l, fail}
			}
			return l, err
		}
	}, func(t *testing.T, s stoppingHost) {
		s.mu.Lock()
		s.serviceTime = time.Second
		s.mu.Unlock()
		s.send(t, request("under way"))
		time.Sleep(100 * time.Millisecond)
		close(fail)
		if got, want := s.readAnswer(t, "to a request in flight"), http.StatusOK; got != want {
			t.Errorf("answer to a request in flight = %d, want %d", got, want)
		}
		answered := time.Now()
		s.kill(s.host) // so that the fleet does not report its end as a failure
		time.Sleep(longTimeout)
		ended := s.stoppedAt(t)
		if !answered.Before(ended) {
			t.Errorf("answered %v after the program ended, want before", answered.Sub(ended))
		}
	})
}
