package conns_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/conns"
)

// listener gives out one connection.
type listener struct {
	net.Listener
	conn net.Conn
}

func (l listener) Accept() (net.Conn, error) { return l.conn, nil }

// follow returns both ends of a connection that c follows, and what lies below it.
func follow(t *testing.T, c *conns.Conns) (near, far net.Conn, below *wire) {
	t.Helper()
	raw, far := net.Pipe()
	below = &wire{Conn: raw}
	near, err := c.Follow(listener{conn: below}).Accept()
	if err != nil {
		t.Fatalf("Accept = %v, want nil", err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far, below
}

// A host that leaves closes its idle connections just as a request arrives on one; passed on, it would run and have no answer.
func TestRequestThatCrossesTheCloseIsNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c conns.Conns
		near, far, _ := follow(t, &c)
		ctx := c.Context(t.Context(), near)
		c.CloseIdle(0)
		go io.WriteString(far, "request")
		if n, err := near.Read(make([]byte, 10)); n > 0 || err == nil {
			t.Errorf("Read = %d, %v behind the close, want an error", n, err)
		}
		near.Close()
		if c.Enter(ctx) {
			t.Error("the request was taken after the close, want it dropped")
		}
	})
}

// Idle connections are closed while a request is handled.
func TestBusyConnectionIsNotClosed(t *testing.T) {
	var c conns.Conns
	near, _, below := follow(t, &c)
	if !c.Enter(c.Context(t.Context(), near)) {
		t.Fatal("the request was not taken, want it taken")
	}
	wantLeft(t, &c, 1)
	wantOpen(t, below)
	c.State(near, http.StateIdle)
	wantLeft(t, &c, 1)
	if _, err := near.Read(make([]byte, 1)); err == nil {
		t.Error("Read of an idle connection that is being closed = nil, want an error")
	}
	near.Close()
	wantLeft(t, &c, 0)
}

// Idle connections are closed while a request is read.
func TestConnectionWithAPartOfARequestIsNotClosed(t *testing.T) {
	var c conns.Conns
	near, far, below := follow(t, &c)
	go io.WriteString(far, "GET")
	if _, err := io.ReadFull(near, make([]byte, 3)); err != nil {
		t.Fatalf("Read = %v, want nil", err)
	}
	wantLeft(t, &c, 1)
	wantOpen(t, below)
}

// Idle connections are closed while the end of an answer waits for a caller that reads slowly.
func TestConnectionWithAnAnswerToWriteIsNotClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c conns.Conns
		near, far := net.Pipe()
		defer far.Close()
		ready := make(chan net.Conn, 1)
		ready <- near
		l := c.Follow(once{ready: ready, closed: make(chan struct{})})
		server := &http.Server{
			Handler:     http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.Enter(r.Context()) }),
			ConnContext: c.Context, ConnState: c.State,
		}
		go server.Serve(l)
		defer server.Close()
		if _, err := io.WriteString(far, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatalf("sending: %v", err)
		}
		synctest.Wait()
		c.CloseIdle(0)
		synctest.Wait()
		r, err := http.ReadResponse(bufio.NewReader(far), nil)
		if err != nil {
			t.Fatalf("answer: %v, want a whole one", err)
		}
		if got, want := r.StatusCode, http.StatusOK; got != want {
			t.Errorf("status = %d, want %d", got, want)
		}
	})
}

// once is a listener for one connection.
type once struct {
	ready  chan net.Conn
	closed chan struct{}
}

func (l once) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l once) Close() error {
	close(l.closed)
	return nil
}

func (l once) Addr() net.Addr { return &net.TCPAddr{} }

func wantLeft(t *testing.T, c *conns.Conns, want int) {
	t.Helper()
	if got := c.CloseIdle(0); got != want {
		t.Errorf("connections left = %d, want %d", got, want)
	}
}

// wire is a connection that notes whether its reads were made to fail.
type wire struct {
	net.Conn
	stopped bool
}

func (w *wire) SetReadDeadline(t time.Time) error {
	w.stopped = !t.IsZero() && t.Before(time.Now())
	return w.Conn.SetReadDeadline(t)
}

func wantOpen(t *testing.T, w *wire) {
	t.Helper()
	if w.stopped {
		t.Error("the connection is being closed, want it open")
	}
}

// lateListener has accepted a connection as it is closed, and hands it over a moment later.
type lateListener struct {
	net.Listener
	conn   net.Conn
	closed chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	time.Sleep(100 * time.Millisecond)
	return l.conn, nil
}

func (l *lateListener) Close() error {
	close(l.closed)
	return nil
}

// A host stops taking connections in the moment in which it accepts one. Not counted among those that are left, it would end with the host, and
// its request would get no answer.
func TestConnectionAcceptedAsTheListenerClosesIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		defer here.Close()
		defer there.Close()
		var c conns.Conns
		l := c.Follow(&lateListener{conn: here, closed: make(chan struct{})})
		go l.Accept()
		synctest.Wait()
		if err := l.Close(); err != nil {
			t.Fatalf("close: %v", err)
		}
		if got, want := c.CloseIdle(time.Hour), 1; got != want {
			t.Errorf("connections left = %d, want %d", got, want)
		}
	})
}
