package uplink

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/acks"
	"damaskreach/internal/demand"
)

// writeWait is how long a complete answer waits for the goroutine that writes its request to report its end: its turn on a busy host. If an
// upstream has answered before it read a long body, the end of the answer is delayed by as much.
const writeWait = 50 * time.Millisecond

// longBody is the size of a body, in bytes, from which the upstream's kernel may not accept all of it before the upstream reads.
const longBody = 16 << 10

// suspendAckTimeout lets a long body wait for an upstream that reads it late, until the request's deadline. The upstream may even have answered
// before it reads the rest.
func (c *conn) suspendAckTimeout(d demand.Demand) error {
	if len(d.Body) < longBody {
		return nil
	}
	restore, err := acks.Lift(c.Conn)
	if err != nil {
		c.Close()
		return merry.Wrap(err)
	}
	c.restoreAcks = restore
	return nil
}

// restoreAckTimeout undoes suspendAckTimeout. It reports false if that fails, as on a closed connection.
func (c *conn) restoreAckTimeout() bool {
	if c.restoreAcks == nil {
		return true
	}
	err := c.restoreAcks()
	c.restoreAcks = nil
	return err == nil
}

// write sends a request with a Content-Length, however the caller framed its body. The caller's own length headers are never forwarded, so that
// a second request hidden in the body remains a part of the body.
//
// A long body is written by itself: a copy of it for each send could take as much memory as all bodies together.
func write(w io.Writer, d demand.Demand, extra http.Header) error {
	var b bytes.Buffer
	b.Grow(512 + min(len(d.Body), longBody))
	b.WriteString(d.Method + " " + d.URI + " HTTP/1.1\r\nHost: " + d.Host + "\r\n")
	writeHeaders(&b, d.Header)
	writeHeaders(&b, extra)
	if len(d.Body) > 0 || d.Method != http.MethodGet && d.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(d.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(d.Body) < longBody {
		b.Write(d.Body)
	}
	if _, err := w.Write(b.Bytes()); err != nil || len(d.Body) < longBody {
		return err
	}
	_, err := w.Write(d.Body)
	return err
}

func writeHeaders(b *bytes.Buffer, h http.Header) {
	for name, values := range h {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
}

// checkWanted closes the connection and returns the reason if its request must not be sent any more: its context has ended, or the upstream is
// about to stop.
func (c *conn) checkWanted(ctx context.Context, stillUsable func() bool) error {
	err := ctx.Err()
	if err == nil && !stillUsable() {
		err = ErrLeft
	}
	if err == nil {
		return nil
	}
	c.Close()
	return merry.Wrap(err)
}

// writing is how writing a request ends.
type writing struct {
	ended chan struct{} // closed once err is set
	err   error
}

func newWriting() *writing { return &writing{ended: make(chan struct{})} }

// end records how writing has ended.
func (w *writing) end(err error) {
	w.err = err
	close(w.ended)
}

// succeeded reports whether the whole request was written, for which it waits a while. If a connection were reused before that, the upstream would take the
// rest of the body for the start of the next request. On a busy host the answer may arrive before the goroutine that wrote the request runs again; without
// the wait its connection would be closed, and the next request would need a new one.
func (w *writing) succeeded(within time.Duration) bool {
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-w.ended:
		return w.err == nil
	case <-timer.C:
		return false
	}
}

// endOf reads an answer that ends with its connection. That says nothing while the request is being written, or where that failed: the connection may have
// broken. An upstream that reads a long body late ends its answer in good order all the same.
type endOf struct {
	io.Reader
	request *writing
}

// Read reads from the answer. At its end it waits until the request is written, or its connection closed.
func (e endOf) Read(p []byte) (int, error) {
	n, err := e.Reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	<-e.request.ended
	if e.request.err != nil {
		return n, merry.Wrap(io.ErrUnexpectedEOF, merry.WithCause(e.request.err))
	}
	return n, err
}
