// Package resp holds an upstream's answer whose body is still being read.
package resp

import (
	"io"
	"net/http"
	"time"

	"damaskreach/internal/doubt"
	"damaskreach/pkg/verd"
)

// Resp is one answer. Close must be called once its body was read or is not wanted any more.
type Resp struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Unframed says that the body has neither length nor chunks: the end of its connection alone marks its end.
	Unframed bool
	Blind    bool        // its connection goes by way of another host, so that this one cannot see whether the far end closes it while it is idle
	Rejected bool        // it states that the request was not run
	Doubt    doubt.Doubt // what speaks against that statement
	Named    bool        // it names the request that it belongs to
	Reused   bool        // its connection has carried other requests before
	Cut      func()      // closes the connection at once, from any goroutine
	// Later waits for another answer to the same request, which takes the place of this one; this one must have been read to its end. It reports false
	// where none comes within a time, and closes the connection then, so that the upstream drops what it still holds.
	Later func(wait time.Duration) (Resp, bool)
	Close func() // gives the connection back where the body was read to its end, else closes it
}

// Verdict returns whether the request has run. Callers take some statuses for the promise that it has not; an upstream that does not state so, or says
// something else in the same head, may have run it all the same. repeatable says that the request may run more than once, so that believing a bare 421 does no harm.
func (r Resp) Verdict(repeatable bool) verd.Verdict {
	switch {
	case r.Rejected && r.Doubt == doubt.None && r.Status >= http.StatusBadRequest, repeatable && r.Status == http.StatusMisdirectedRequest:
		return verd.NotRun
	case r.Rejected, promisesNotRun(r.Status):
		return verd.MayHaveRun
	}
	return verd.Ran
}

// promisesNotRun reports whether callers take a status for the promise that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
