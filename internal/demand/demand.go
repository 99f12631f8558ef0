// Package demand holds a caller's request as the entry decoded it.
package demand

import (
	"net/http"
	"time"

	"damaskreach/internal/apikey"
)

// Demand is immutable.
type Demand struct {
	ID       string // attempt of the caller; each has its own
	Method   string
	Host     string
	URI      string      // path and query as sent, never cleaned or decoded
	Header   http.Header // to pass on; hop-by-hop headers and those that only this program sets are left out
	Key      apikey.Key  // by which the caller proves its team
	Body     []byte
	Wait     time.Duration // how long the caller waits; zero means it did not say
	Model    string        // base model; empty for plain upstreams
	Adapter  string        // "model/adapter"; empty for the base model itself
	Prompt   int           // tokens of the prompt
	Most     int           // tokens that the answer may have
	Parts    []string      // IDs of the parts of the prompt that other requests may share, in order
	LastSeen string        // id of the last event that the caller has, where it resumes
	Resumes  string        // ID of the attempt that brought the stream's first event, where the caller resumes it
}
