// Package refuse holds the answer a caller gets in place of the one it asked for.
package refuse

import (
	"fmt"
	"net/http"
	"time"

	"damaskreach/pkg/verd"
)

// Codes of refusals, stable for callers to switch on.
const (
	BadRequest   = "bad-request"   // the request itself is malformed
	BadMethod    = "bad-method"    // the path does not take the method
	NoRoute      = "no-route"      // there is no such path
	TooLarge     = "too-large"     // the body exceeds the configured size
	LargeHeader  = "large-header"  // the headers exceed the configured size
	SlowBody     = "slow-body"     // the body did not arrive in time
	UnknownModel = "unknown-model" // no such adapter or version for this tenant
	Unauthorized = "unauthorized"  // the request names no key that is in force
	Forbidden    = "forbidden"     // the credentials do not allow it
	Limited      = "limited"       // a limit of the adapter or tenant is used up
	Overloaded   = "overloaded"    // every admission queue that could serve it is full
	NoUpstream   = "no-upstream"   // no runner that could serve it is reachable
	NoBuild      = "no-build"      // no upstream of the software that began the stream is ready
	NoOrigin     = "no-origin"     // it is not known which software began the stream
	Deadline     = "deadline"      // it cannot be answered before its deadline
	Suspect      = "suspect"       // earlier tries of it crashed two upstreams
	Repeat       = "repeat"        // an earlier request with its idempotency key is running or its outcome is unknown
	Cut          = "cut"           // the answer broke off before its end
	Unclear      = "unclear"       // the upstream's answer leaves open whether the request has run
	Crashed      = "crashed"       // the connection to the upstream broke while the request ran
	Leaving      = "leaving"       // this node is shutting down
	TableDown    = "table-down"    // the table service cannot record the claim
	LoadFailed   = "load-failed"   // the adapter could not be loaded
	NoRoom       = "no-room"       // no adapter slot that could serve it can be freed
	Canceled     = "canceled"      // the caller went away
	Moved        = "moved"         // the node asked is not the owner of the runner
	Held         = "held"          // the runner is kept for a request that may crash it
	Internal     = "internal"      // a fault of this program
)

// Refusal is an error that a caller may read: what was refused, why, and whether it may have run.
type Refusal struct {
	Verdict verd.Verdict  `json:"verdict" msgpack:"verdict"`
	Code    string        `json:"code" msgpack:"code"`
	Text    string        `json:"message" msgpack:"text"`
	Retry   time.Duration `json:"-" msgpack:"retry"` // when to come back; zero where a retry is of no use
}

// NewRefusal returns a refusal with its text formatted from format and args.
func NewRefusal(v verd.Verdict, code, format string, args ...any) *Refusal {
	return &Refusal{Verdict: v, Code: code, Text: fmt.Sprintf(format, args...)}
}

// Error returns the code, the verdict and the text in one line.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Verdict, r.Text)
}

// Outcome returns the verdict, which verd.Of looks for.
func (r *Refusal) Outcome() verd.Verdict {
	return r.Verdict
}

// WithRetry returns a copy that tells the caller to come back after d.
func (r *Refusal) WithRetry(d time.Duration) *Refusal {
	next := *r
	next.Retry = d
	return &next
}

// WithVerdict returns a copy with another verdict.
func (r *Refusal) WithVerdict(v verd.Verdict) *Refusal {
	next := *r
	next.Verdict = v
	return &next
}

// Status returns the HTTP status that goes with the code.
func (r *Refusal) Status() int {
	switch r.Code {
	case BadRequest:
		return http.StatusBadRequest
	case BadMethod:
		return http.StatusMethodNotAllowed
	case NoRoute:
		return http.StatusNotFound
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case LargeHeader:
		return http.StatusRequestHeaderFieldsTooLarge
	case SlowBody:
		return http.StatusRequestTimeout
	case UnknownModel:
		return http.StatusNotFound
	case Unauthorized:
		return http.StatusUnauthorized
	case Forbidden:
		return http.StatusForbidden
	case Limited:
		return http.StatusTooManyRequests
	case Repeat:
		return http.StatusConflict
	case Suspect:
		return http.StatusUnprocessableEntity
	case Deadline:
		return http.StatusGatewayTimeout
	case Cut, Crashed:
		return http.StatusBadGateway
	case Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
