// Package reason holds why a decision was taken, with the figures it rested on.
package reason

import (
	"fmt"
	"strings"
	"time"
)

// Kinds of decisions about runners, beside the codes of refusals and the kinds of placements.
const (
	Started    = "started"     // a request was sent to the engine
	Load       = "load"        // a load was ordered
	Loaded     = "loaded"      // the engine has the adapter
	LoadFailed = "load-failed" // a load ended with an error
	Unload     = "unload"      // an unload was ordered
	Taken      = "taken"       // a node became owner of a runner
	GivenUp    = "given-up"    // a node stopped using a runner it owned
	FormerDone = "former-done" // an earlier owner is known to have stopped
	Ended      = "ended"       // a node ended another's lapsed session
)

// Reason is kept in the journal and shown to operators. Fields that do not apply stay zero.
type Reason struct {
	Kind    string        `json:"kind" msgpack:"kind"`                           // stable word such as "resident" or "evicted"
	Text    string        `json:"text" msgpack:"text"`                           // plain clause, without figures
	Model   string        `json:"model,omitempty" msgpack:"model,omitempty"`     // adapter@version decided about
	Runner  string        `json:"runner,omitempty" msgpack:"runner,omitempty"`   // runner decided about
	Verdict string        `json:"verdict,omitempty" msgpack:"verdict,omitempty"` // of a refusal as the caller was told it
	Running int           `json:"running,omitempty" msgpack:"running,omitempty"` // requests in progress on the runner
	Waiting int           `json:"waiting,omitempty" msgpack:"waiting,omitempty"` // requests queued before this one
	Free    int           `json:"free,omitempty" msgpack:"free,omitempty"`       // free adapter slots
	Wait    time.Duration `json:"wait,omitempty" msgpack:"wait,omitempty"`       // expected or past wait
	Stall   time.Duration `json:"stall,omitempty" msgpack:"stall,omitempty"`     // part of Wait until the adapter was resident
	Demand  float64       `json:"demand,omitempty" msgpack:"demand,omitempty"`   // decayed requests per minute
	Limit   float64       `json:"limit,omitempty" msgpack:"limit,omitempty"`     // configured bound
	Fence   int64         `json:"fence,omitempty" msgpack:"fence,omitempty"`     // number of the ownership
	Used    float64       `json:"used,omitempty" msgpack:"used,omitempty"`       // amount used against Limit
}

// String returns the reason as one plain sentence with its figures.
func (r Reason) String() string {
	var figures []string
	add := func(set bool, format string, args ...any) {
		if set {
			figures = append(figures, fmt.Sprintf(format, args...))
		}
	}
	add(r.Model != "", "model %s", r.Model)
	add(r.Runner != "", "runner %s", r.Runner)
	add(r.Verdict != "", "told %s", r.Verdict)
	add(r.Running != 0, "%d running", r.Running)
	add(r.Waiting != 0, "%d waiting", r.Waiting)
	add(r.Free != 0, "%d free slots", r.Free)
	add(r.Wait != 0, "wait %s", r.Wait.Round(time.Millisecond))
	add(r.Stall != 0, "of it %s until the adapter was resident", r.Stall.Round(time.Millisecond))
	add(r.Demand != 0, "demand %.2f per minute", r.Demand)
	add(r.Fence != 0, "fence %d", r.Fence)
	add(r.Limit != 0, "used %.0f of %.0f", r.Used, r.Limit)
	if len(figures) == 0 {
		return r.Text + "."
	}
	return r.Text + " (" + strings.Join(figures, ", ") + ")."
}

// Lasting reports whether the decision must be known after its node is gone: unloads and changes of ownership.
func (r Reason) Lasting() bool {
	switch r.Kind {
	case Unload, Taken, GivenUp, FormerDone, Ended:
		return true
	}
	return false
}
