// Package heads tells the heads of answers from what net/http takes for one.
//
// That reader is lenient: it takes any three digits and signs for a status, and field names that hold blanks. An upstream in trouble sends such heads. Where
// a length stands under a name that was not understood, what follows is no body of the answer's.
package heads

import (
	"bytes"
	"net/http"
	"regexp"
	"slices"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that what came is not the head of an answer. Nothing in it is believed.
var ErrMalformed = merry.Sentinel("heads: not the head of an answer")

const (
	minStatus, maxStatus = 100, 599
	// maxShown bounds what errors hold of a line, in bytes.
	maxShown = 64
)

// status begins a head; statusLine is its first line, and statusWithin one that stands elsewhere.
const status = `HTTP/1\.[01] [1-5][0-9][0-9]`

var (
	statusLine   = regexp.MustCompile(`^` + status + `( |$)`)
	statusWithin = regexp.MustCompile(status)
)

// CheckFirst returns ErrMalformed if the first line of a head, without its end, has no status.
func CheckFirst(line []byte) error {
	if !statusLine.Match(line) {
		return malformed(line)
	}
	return nil
}

// CheckField returns ErrMalformed if a further line of a head, without its end, is not a field of its own.
func CheckField(line []byte) error {
	name, _, found := bytes.Cut(line, []byte{':'})
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed(line)
	}
	return nil
}

// Merged reports whether a head has a status line in it: an upstream has stopped in the middle of one head and begun the next, so that the status is that
// of one answer and the body that of the other.
func Merged(h http.Header) bool {
	for _, values := range h {
		if slices.ContainsFunc(values, statusWithin.MatchString) {
			return true
		}
	}
	return false
}

func malformed(line []byte) error {
	return merry.Prependf(ErrMalformed, "%q", line[:min(len(line), maxShown)])
}

// Transport lets only answers with well-formed heads through.
type Transport struct {
	http.RoundTripper
}

// NewClient returns a client for calls to one address: it goes nowhere else, wherever an answer points.
func NewClient(t *http.Transport) *http.Client {
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: Transport{t}, CheckRedirect: stay}
}

// RoundTrip sends a request. Its error is ErrMalformed where the head of the answer is none.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := check(answer); err != nil {
		_ = answer.Body.Close() // the connection is of no use any more
		return nil, err
	}
	return answer, nil
}

func check(answer *http.Response) error {
	if answer.StatusCode < minStatus || answer.StatusCode > maxStatus || answer.ProtoMajor != 1 {
		return malformed([]byte(answer.Proto + " " + answer.Status))
	}
	for name := range answer.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed([]byte(name))
		}
	}
	return nil
}
