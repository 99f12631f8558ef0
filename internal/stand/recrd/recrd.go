// Package recrd holds what a stand-in upstream remembers of the requests it executed.
package recrd

import "time"

// Ways in which an execution ends. An empty End means that it is still in progress.
const (
	Whole     = "whole"     // the last byte of the answer was handed to the connection
	Cut       = "cut"       // the upstream crashed or gave the execution up
	Cancelled = "cancelled" // the caller went away
	Refused   = "refused"   // it was not begun
)

// Record is one execution of a request, one load of a model, or one breach of the rules that an upstream noticed.
// An end-to-end checker compares these with what the callers saw.
type Record struct {
	Request  string    `json:"request"`          // request id header
	Attempt  string    `json:"attempt"`          // attempt id header
	Key      string    `json:"key"`              // idempotency key header
	Model    string    `json:"model"`            // adapter@version that ran; empty for a plain service
	Method   string    `json:"method"`           // HTTP method
	Path     string    `json:"path"`             // HTTP path with its query
	Boot     string    `json:"boot"`             // start of the upstream during which it ran
	Fence    int64     `json:"fence"`            // fencing number it carried
	From     int       `json:"from"`             // tokens skipped because the stream was resumed
	Tokens   int       `json:"tokens"`           // tokens generated, without the skipped ones
	Started  time.Time `json:"started"`          // when the upstream accepted it
	Finished time.Time `json:"finished"`         // zero while in progress
	Made     time.Time `json:"made"`             // when its last token was generated and its model not needed any more; zero before
	End      string    `json:"end"`              // one of the ways above, or empty
	Breach   string    `json:"breach,omitempty"` // what was wrong; empty where nothing was
}

// WithEnd returns a copy that ended at the given time.
func (r Record) WithEnd(end string, at time.Time) Record {
	r.End = end
	r.Finished = at
	return r
}
