// Package call describes one request of a caller on its way through the nodes.
package call

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"
)

const attemptMark = "."

// Call is one request. It is immutable; its With methods return changed copies.
type Call struct {
	ID            string    `msgpack:"id,omitempty"`       // request id, unique per received request
	Attempt       string    `msgpack:"attempt,omitempty"`  // attempt id, unique per dispatch; answers are matched by it
	Tenant        string    `msgpack:"tenant,omitempty"`   // the caller
	Adapter       string    `msgpack:"adapter,omitempty"`  // adapter name; empty for a plain service
	Version       string    `msgpack:"version,omitempty"`  // adapter version, resolved by the entry node
	Group         string    `msgpack:"group,omitempty"`    // upstream group that serves it
	Key           string    `msgpack:"key,omitempty"`      // idempotency key; empty when none was given
	NonIdempotent bool      `msgpack:"once,omitempty"`     // non-idempotent: at most one dispatch
	Class         string    `msgpack:"class,omitempty"`    // traffic class, for metrics and fair shares
	Priority      int       `msgpack:"priority,omitempty"` // higher is more urgent
	Deadline      time.Time `msgpack:"deadline,omitempty"` // zero means none
	Tokens        int       `msgpack:"tokens,omitempty"`   // answer tokens expected
	Most          int       `msgpack:"most,omitempty"`     // answer tokens the caller allows at the most
	Demand        float64   `msgpack:"demand,omitempty"`   // decayed count of requests for the model at its home; 0 where it is not known
	Prefix        string    `msgpack:"prefix,omitempty"`   // hash of the prompt's opening, for prefix-cache affinity
	Method        string    `msgpack:"method,omitempty"`   // HTTP method towards the upstream
	Path          string    `msgpack:"path,omitempty"`     // HTTP path towards the upstream
	Type          string    `msgpack:"type,omitempty"`     // content type of Body
	Body          []byte    `msgpack:"body,omitempty"`     // body towards the upstream
	Stream        bool      `msgpack:"stream,omitempty"`   // the caller asked for server-sent events
	Sum           string    `msgpack:"sum,omitempty"`      // Fingerprint, kept where the body is left out
	From          int       `msgpack:"from,omitempty"`     // token at which a resumed stream goes on
	Suspect       bool      `msgpack:"alone,omitempty"`    // may crash its engine: placed away from other requests
}

// Model returns the adapter and version as engines name them.
func (c Call) Model() string {
	return Model(c.Adapter, c.Version)
}

// Model joins an adapter and a version into the name engines use.
func Model(adapter, version string) string {
	return adapter + "@" + version
}

// Fingerprint returns a fingerprint of what the call asks, equal for a caller's repeats of it.
func (c Call) Fingerprint() string {
	if c.Sum != "" {
		return c.Sum
	}
	sum := sha256.New()
	for _, part := range []string{c.Tenant, c.Adapter, c.Group, c.Method, c.Path, c.Key} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	sum.Write(c.Body)
	return hex.EncodeToString(sum.Sum(nil)[:16])
}

// WithSum returns a copy that keeps its fingerprint, so that it is computed once.
func (c Call) WithSum() Call {
	c.Sum = c.Fingerprint()
	return c
}

// WithoutBody returns a copy for decisions, which need the fingerprint but not the body.
func (c Call) WithoutBody() Call {
	c = c.WithSum()
	c.Body = nil
	return c
}

// Attempt returns the id of the nth attempt of a request that an entry node has named. Names are the node's own, since
// callers may give all their requests one id.
func Attempt(name string, n int) string {
	return name + attemptMark + strconv.Itoa(n)
}

// Name returns what all attempts of one request have in common.
func (c Call) Name() string {
	name, _, _ := strings.Cut(c.Attempt, attemptMark)
	return name
}

// WithAttempt returns a copy for one dispatch.
func (c Call) WithAttempt(id string) Call {
	c.Attempt = id
	return c
}

// WithDemand returns a copy that carries the home's count to the owner of the runner.
func (c Call) WithDemand(count float64) Call {
	c.Demand = count
	return c
}

// WithSuspect returns a copy that is placed away from other requests if suspect is set.
func (c Call) WithSuspect(suspect bool) Call {
	c.Suspect = suspect
	return c
}

// WithFrom returns a copy that resumes its stream at token from.
func (c Call) WithFrom(from int) Call {
	c.From = from
	return c
}
