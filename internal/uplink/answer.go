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

// drained reports whether nothing of the body is left to read.
func drained(body io.Reader) bool {
	var one [1]byte
	n, err := body.Read(one[:])
	return n == 0 && errors.Is(err, io.EOF)
}
