package uplink

import (
	"errors"
	"io"
	"net/http"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/demand"
)

// strays is how many answers to other requests are skipped before a connection is given up.
const strays = 2

// answer reads the answer to a request, past answers to others. An upstream may answer a request twice; the second
// answer then lies where the next one is expected.
func (c *conn) answer(d demand.Demand) (*http.Response, error) {
	for range strays + 1 {
		r, err := http.ReadResponse(c.read, &http.Request{Method: d.Method})
		if err != nil {
			return nil, merry.Wrap(err)
		}
		if r.StatusCode < http.StatusOK {
			continue
		}
		if c.up.Matches(r.Header, d.ID) {
			return r, nil
		}
		if !skip(r) {
			break
		}
	}
	return nil, merry.Wrap(ErrStray)
}

// skip reads an answer to its end, so that the next one can be read; it reports false where the connection is of no more
// use.
func skip(r *http.Response) bool {
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil && !r.Close
}

// body is the body of an answer, which knows whether it was read to its end. To find that out by reading on, once it is not wanted any more, would
// wait for an upstream that has stopped in the middle of it.
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
