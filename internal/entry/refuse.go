package entry

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"damaskreach/internal/call"
	"damaskreach/pkg/head"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

func badRequest(format string, args ...any) *refuse.Refusal {
	return refuse.NewRefusal(verd.NotRun, refuse.BadRequest, format, args...)
}

// asRefusal returns err as a refusal with err's verdict.
func asRefusal(err error) *refuse.Refusal {
	if err == nil {
		return nil
	}
	var refusal *refuse.Refusal
	if errors.As(err, &refusal) {
		return refusal.WithVerdict(verd.Of(err))
	}
	code := refuse.Cut
	if verd.Of(err) == verd.NotRun {
		code = refuse.NoUpstream
	}
	return refuse.NewRefusal(verd.Of(err), code, "%s", err.Error())
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail has the fields that callers of model servers expect, and the verdict.
type errorDetail struct {
	Message string       `json:"message"`
	Type    string       `json:"type"`
	Code    string       `json:"code"`
	Verdict verd.Verdict `json:"verdict"`
	Retry   float64      `json:"retry_after_seconds,omitempty"`
}

func newErrorBody(r *refuse.Refusal) errorBody {
	return errorBody{Error: errorDetail{
		Message: r.Text,
		Type:    head.Kind,
		Code:    r.Code,
		Verdict: r.Verdict,
		Retry:   r.Retry.Seconds(),
	}}
}

// reject refuses a request before it is dispatched. Its refusal is observed like any other, under the caller's request id
// or a new one, which the answer names: an operator may be asked about it.
func (e *Entry) reject(w http.ResponseWriter, r *http.Request, c call.Call, refusal *refuse.Refusal) {
	if c.ID == "" || len(c.ID) > mostHeader {
		c.ID = r.Header.Get(HeaderRequest)
	}
	if c.ID == "" || len(c.ID) > mostHeader {
		c.ID = rand.Text()
	}
	w.Header().Set(HeaderRequest, c.ID)
	if r.ContentLength != 0 {
		// The HTTP library reads the rest of a body before it sends the answer, unless the connection ends with it. A caller
		// that sends slowly would learn of the refusal late.
		w.Header().Set("Connection", "close")
	}
	e.finish(w, newSink(w), c, refusal)
}

// usualRetry is when a caller may come back where whoever refused named no time: by then a break of connection or a
// change of owner is over.
const usualRetry = time.Second

// withRetry returns the refusal with a time to come back, unless a repeat is of no use.
func withRetry(r *refuse.Refusal) *refuse.Refusal {
	if r.Retry > 0 {
		return r
	}
	switch r.Code {
	case refuse.BadRequest, refuse.BadMethod, refuse.NoRoute, refuse.TooLarge, refuse.LargeHeader, refuse.UnknownModel, refuse.Forbidden, refuse.Suspect, refuse.Repeat, refuse.Internal:
		return r
	}
	return r.WithRetry(usualRetry)
}

// refuse answers with a refusal at once, and with when to come back.
func (e *Entry) refuse(w http.ResponseWriter, r *refuse.Refusal) {
	e.answerRefusal(w, withRetry(r))
}

// answerRefusal writes a refusal. Retry-After is in whole seconds, rounded up.
func (e *Entry) answerRefusal(w http.ResponseWriter, r *refuse.Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderVerdict, r.Verdict.String())
	if r.Retry > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(r.Retry)/float64(time.Second)))))
	}
	w.WriteHeader(r.Status())
	_ = json.NewEncoder(w).Encode(newErrorBody(r)) // the caller may be gone
}
