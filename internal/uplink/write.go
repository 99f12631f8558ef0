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

// writtenFor is how long a whole answer waits for the end of its request's writing to be told: a goroutine's turn on a busy
// host. Where an upstream answered before it read a long body, the answer's end is held up for so long.
const writtenFor = 50 * time.Millisecond

// longBody is the length of a body from which an upstream's kernel may not take all of it before the upstream reads.
const longBody = 16 << 10

// lift has a long body wait for an upstream that reads it late, for as long as the request's time lasts: it may even have answered by then.
func (c *conn) lift(d demand.Demand) error {
	if len(d.Body) < longBody {
		return nil
	}
	restore, err := acks.Lift(c.Conn)
	if err != nil {
		c.Close()
		return merry.Wrap(err)
	}
	c.restore = restore
	return nil
}

// bound sets the bound again that was lifted; it reports false where the connection is of no more use: one that takes no setting is closed.
func (c *conn) bound() bool {
	if c.restore == nil {
		return true
	}
	err := c.restore()
	c.restore = nil
	return err == nil
}

// write sends a request with its length, whatever way the caller sent its body. Headers that state a length are never
// the caller's own, so that a second request hidden in a body stays a body.
func write(w io.Writer, d demand.Demand, extra http.Header) error {
	var b bytes.Buffer
	b.Grow(512 + len(d.Body))
	b.WriteString(d.Method + " " + d.URI + " HTTP/1.1\r\nHost: " + d.Host + "\r\n")
	fields(&b, d.Header)
	fields(&b, extra)
	if len(d.Body) > 0 || d.Method != http.MethodGet && d.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(d.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(d.Body)
	_, err := w.Write(b.Bytes())
	return err
}

func fields(b *bytes.Buffer, h http.Header) {
	for name, values := range h {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
}

// over closes a connection whose request may not be sent any more, since nobody waits for it or the upstream leaves, and returns the reason.
func (c *conn) over(ctx context.Context, still func() bool) error {
	err := ctx.Err()
	if err == nil && !still() {
		err = ErrLeft
	}
	if err == nil {
		return nil
	}
	c.Close()
	return merry.Wrap(err)
}

// sent reports whether the whole request was written. Were a connection kept before that, the rest of the body would be
// taken for the start of the next request. On a busy host the answer may be there before the goroutine that wrote the request
// has run again to say so; without a moment's wait such a connection would be closed, and the next request need a new one.
func sent(written <-chan error) bool {
	timer := time.NewTimer(writtenFor)
	defer timer.Stop()
	select {
	case err := <-written:
		return err == nil
	case <-timer.C:
		return false
	}
}
