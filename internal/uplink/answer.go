package uplink

import (
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/demand"
)

const (
	// maxStrays is how many answers to other requests are skipped before the connection is closed.
	maxStrays = 2
	// maxStray bounds the body of an answer to another request, in bytes. An upstream in trouble may send bytes without end.
	maxStray = 1 << 20
)

// answer reads the answer to a request and skips those that do not name it, on a new connection too: an upstream may answer a request twice, or send
// bytes that belong to no request, and these come where an answer is expected. Only what has taken over the upstream's address need not name it.
func (c *conn) answer(d demand.Demand, extra http.Header) (*http.Response, error) {
	for n := range maxStrays + 1 {
		first := n == 0 && !c.reused
		r, err := c.head(d.Method)
		if err != nil {
			return nil, merry.Wrap(err)
		}
		id := c.uplink.AnswerID(r.Header)
		if id == d.ID || id == "" && first && c.tookOver(r, extra) {
			return r, nil
		}
		if c.uplink.Stray != nil {
			c.uplink.Stray(c.addr, r.StatusCode, id, d.ID)
		}
		if !skipBody(r) {
			break
		}
	}
	return nil, merry.Wrap(ErrStray)
}

// tookOver reports whether an answer is that of what has taken over the upstream's address.
func (c *conn) tookOver(r *http.Response, extra http.Header) bool {
	if r.StatusCode != http.StatusMisdirectedRequest {
		return false
	}
	rejected, _ := c.uplink.NotRun(extra, r.StatusCode, r.Header)
	return rejected
}

// skipBody reads an answer to its end, so that the next one can be read. It reports false if the connection cannot be used any more.
func skipBody(r *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxStray))
	return err == nil && n < maxStray && !r.Close
}

// body is the body of an answer and records whether it was read to its end. Reading on to find that out would block on an upstream that has
// stopped in the middle of it.
type body struct {
	io.Reader
	ended bool
}

func newBody(r io.Reader) *body {
	return &body{Reader: r, ended: r == http.NoBody}
}

// Read reads from the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}
