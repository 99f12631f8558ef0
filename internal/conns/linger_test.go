package conns_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"damaskreach/internal/conns"
)

// wholeAnswer is the length of an answer that the kernel takes from a host and a caller with a small window has not taken yet.
const wholeAnswer = 150 << 10

// told is a connection that tells when it is closed, in one direction or both.
type told struct {
	*net.TCPConn
	tell func()
}

func (c told) Close() error {
	defer c.tell()
	return c.TCPConn.Close()
}

func (c told) CloseWrite() error {
	defer c.tell()
	return c.TCPConn.CloseWrite()
}

// telling is a listener of such connections, which take a whole answer.
type telling struct {
	net.Listener
	tell func()
}

func (l telling) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	raw := c.(*net.TCPConn)
	return told{raw, l.tell}, raw.SetWriteBuffer(2 * wholeAnswer)
}

// A leaving host closes a connection behind an answer, and the caller has sent its next request already. Reset for what was not read, the connection
// would lose the end of the answer on its way to a caller that reads slowly.
func TestAnswerBeforeARequestThatIsNotReadIsWhole(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("Listen() = %v, want nil", err)
	}
	var c conns.Conns
	closed, begun, next := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnContext: c.Context, ConnState: c.State, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-next
		w.Header().Set("Connection", "close")
		if _, err := w.Write(make([]byte, wholeAnswer)); err != nil {
			t.Errorf("answering: %v", err)
		}
	})}
	go server.Serve(c.Follow(telling{raw, sync.OnceFunc(func() { close(closed) })}))
	defer server.Close()
	far, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatalf("Dial() = %v, want nil", err)
	}
	defer far.Close()
	if err := far.(*net.TCPConn).SetReadBuffer(16 << 10); err != nil {
		t.Fatalf("making the window small: %v", err)
	}
	const request = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(far, request); err != nil {
		t.Fatalf("sending: %v", err)
	}
	<-begun
	if _, err := io.WriteString(far, request); err != nil {
		t.Fatalf("sending the next request: %v", err)
	}
	close(next)
	<-closed
	r, err := http.ReadResponse(bufio.NewReader(far), nil)
	if err != nil {
		t.Fatalf("answer: %v, want one", err)
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(r.Body); err != nil || body.Len() != wholeAnswer {
		t.Errorf("body = %d bytes, %v, want all %d", body.Len(), err, wholeAnswer)
	}
}
