package uplink_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"damaskreach/internal/demand"
	"damaskreach/internal/uplink"
)

const (
	// ackFor is how long sent bytes may stay unacknowledged on the connections of these tests.
	ackFor = 300 * time.Millisecond
	// longBody is more than the kernel buffers for a program that does not read.
	longBody = 32 << 20
)

// dialBounded opens a connection that the kernel closes once bytes have been unacknowledged for ackFor.
func dialBounded(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackFor.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return d.DialContext(ctx, "tcp", addr)
}

// answerUnread answers one request in two parts, and does not read its body before the second part.
func answerUnread(t *testing.T, l net.Listener) {
	c, err := l.Accept()
	if err != nil {
		t.Errorf("accepting: %v", err)
		return
	}
	defer c.Close()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		t.Errorf("reading the request's head: %v", err)
		return
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 8\r\n\r\nhalf"); err != nil {
		t.Errorf("answering: %v", err)
		return
	}
	<-time.After(4 * ackFor) // the kernel's clock cannot be replaced by the test's
	if n, err := io.Copy(io.Discard, r.Body); n != longBody || err != nil {
		t.Errorf("body of %d bytes, %v, want %d bytes", n, err, longBody)
	}
	_, _ = io.WriteString(c, "more") // the client reports a lost connection
}

// An upstream answers before it has read a long body, and reads the rest later. The connection must not time out meanwhile, which would break off a
// good answer.
func TestUpstreamMayReadALongBodyLate(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() = %v, want nil", err)
	}
	var upstream sync.WaitGroup
	defer upstream.Wait()
	defer l.Close()
	upstream.Go(func() { answerUnread(t, l) })
	u := &uplink.Uplink{Dial: dialBounded, AnswerID: func(h http.Header) string { return h.Get("Id") }, NotRun: notRun}
	d := demand.Demand{ID: "1", Method: "POST", Host: "a", URI: "/x", Body: make([]byte, longBody)}
	r, err := u.Do(t.Context(), l.Addr().String(), d, nil, func() bool { return true })
	if err != nil {
		t.Fatalf("Do() = %v, want nil", err)
	}
	defer r.Close()
	if got, err := io.ReadAll(r.Body); string(got) != "halfmore" || err != nil {
		t.Errorf("answer = %q, %v, want %q", got, err, "halfmore")
	}
}
