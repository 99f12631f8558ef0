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

// errPort is why a port of these tests fails.
var errPort = errors.New("accept: no buffer space available")

// port is a listener that fails once fail is closed.
type port struct {
	net.Listener
	fail <-chan struct{}
}

func (p port) Accept() (net.Conn, error) {
	<-p.fail
	return nil, errPort
}

// The port for the platform's questions fails while a request is under way. Ended at once, the host would leave that request without an answer.
func TestHostWhosePortFailsAnswersWhatIsUnderWay(t *testing.T) {
	var fail chan struct{}
	onStoppingOf(t, func(e *edge.Edge) {
		fail = make(chan struct{})
		listen := e.Listen
		e.Listen = func(addr string) (net.Listener, error) {
			l, err := listen(addr)
			if addr == hostIP(1)+":8001" {
				l = port{l, fail}
			}
			return l, err
		}
	}, func(t *testing.T, s stopping) {
		s.mu.Lock()
		s.takes = time.Second
		s.mu.Unlock()
		s.send(t, request("under way"))
		time.Sleep(100 * time.Millisecond)
		close(fail)
		if got, want := s.answer(t, "to a request under way"), http.StatusOK; got != want {
			t.Errorf("answer to a request under way = %d, want %d", got, want)
		}
		answered := time.Now()
		s.kill(s.host) // its end is no fault of the fleet's
		time.Sleep(forLong)
		ended := s.stoppedAt(t)
		if !answered.Before(ended) {
			t.Errorf("answered %v after the program ended, want before", answered.Sub(ended))
		}
	})
}
