// Package answer holds the outcome of a request as it is kept for repeats.
package answer

import (
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// Answer is what a repeat of a request is told.
type Answer struct {
	Verdict verd.Verdict    `json:"verdict" msgpack:"verdict"`
	Status  int             `json:"status,omitempty" msgpack:"status,omitempty"` // of an HTTP answer
	Kind    string          `json:"kind,omitempty" msgpack:"kind,omitempty"`     // content type
	Body    []byte          `json:"body,omitempty" msgpack:"body,omitempty"`
	Kept    bool            `json:"kept,omitempty" msgpack:"kept,omitempty"`       // Body is the whole answer; it was not too large to keep
	Refusal *refuse.Refusal `json:"refusal,omitempty" msgpack:"refusal,omitempty"` // where the request was not answered in full
}

// NewAnswer returns the record of a whole answer.
func NewAnswer(status int, kind string, body []byte) Answer {
	return Answer{Verdict: verd.Ran, Status: status, Kind: kind, Body: body, Kept: true}
}

// NewRefused returns the record of a request that was refused or cut.
func NewRefused(r *refuse.Refusal) Answer {
	return Answer{Verdict: r.Verdict, Refusal: r}
}

// WithoutBody returns the record of an answer too large to keep.
func (a Answer) WithoutBody() Answer {
	a.Body = nil
	a.Kept = false
	return a
}
