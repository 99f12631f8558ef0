package direct

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/intent"
	"damaskreach/internal/kinds"
	"damaskreach/internal/route"
	"damaskreach/internal/target"
	"damaskreach/internal/team"
	"damaskreach/internal/view"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// forever is the longest that any request is kept.
const forever = 5 * time.Minute

// job is one request on its way. It belongs to the goroutine that serves it.
type job struct {
	d     demand.Demand
	w     http.ResponseWriter
	view  view.View
	route route.Route
	team  team.Team // that asks; an empty one where callers need no key
	group string
	print string // what it has in common with repeats of it
	begun time.Time

	sends     int             // to upstreams, rejected ones included
	runs      int             // sends that may have run
	tried     map[string]bool // upstreams that did not serve it
	moved     *target.Target  // where it was cut off only since it was silent; nil where it was not
	only      *target.Target  // the one upstream where it may go on; nil for any
	fault     *refuse.Refusal // why the last send failed
	failed    bool            // for reasons of its upstream; kept here since refuse panics where part of an answer has gone out
	units     float64         // that it counts against its team's limit; 0 where there is none
	next      *choice         // where it goes on; nil where that is to be found
	turn      turn            // that it has at an engine
	seat      turn            // under which it counts at a brittle upstream
	away      bool            // the upstream had no room for it
	back      func()          // gives back what was counted against the team's limit; nil where nothing was
	version   int             // of the adapter that was asked of the upstream; 0 means any
	last      string          // id of the last event that was passed on
	ownerless time.Time       // since when it waits for an engine that can be given orders
	headed    bool            // the status has gone to the caller
	stays     func() bool     // lets the request go on while its host ends
	first     time.Time       // when the first byte of the answer went to the caller
	sent      time.Time       // when it was last sent
	heard     time.Time       // when the newest events went to the caller
	pause     time.Duration   // longest between two events
	expected  time.Duration   // from its last send to the first event
	note      string          // what was decided on the way, for the line at its end
}

// turn is leave to send a prompt to an engine.
type turn struct {
	engine string
	number uint64 // 0 where there is none
}

// did notes what was decided on the way.
func (j *job) did(what string) {
	if j.note != "" {
		j.note += " "
	}
	j.note += what
}

// rank says how urgent the request is, 0 the most: its team's rank goes before its route's.
func (j *job) rank() int {
	if j.team.Ranked {
		return j.team.Rank
	}
	return j.route.Priority
}

// deadline is when the request gets its final answer at the latest.
func (j *job) deadline() time.Time {
	left := forever
	if j.route.Timeout > 0 {
		left = min(left, j.route.Timeout)
	}
	if j.d.Wait > 0 {
		left = min(left, j.d.Wait)
	}
	return j.begun.Add(left)
}

const (
	// leastPatience, targets and gaps say how long callers wait for the first event of a stream: the longest of a time, so
	// many times the route's target, and so many of its longest pauses. The users' pages tell it of their callers.
	leastPatience = 2 * time.Second
	targets       = 4
	gaps          = 8
	// hope is the part of that for which a request may wait here. Beyond it, it would be sent for a caller that has left.
	hope = 0.7
)

// hopeless is when a request that has not been sent yet is refused, so that its caller comes back instead of giving up. One whose caller has a
// part of the answer has nothing to come back for.
func (j *job) hopeless() time.Time {
	until := j.deadline()
	if j.headed {
		return until
	}
	if j.route.Kind == kinds.Stream {
		patience := max(leastPatience, targets*j.route.Target, gaps*j.route.Gap)
		until = j.begun.Add(min(until.Sub(j.begun), patience))
	}
	return j.begun.Add(time.Duration(hope * float64(until.Sub(j.begun))))
}

// patience returns for how long the request may wait for its turn and still be on time, where the first event comes so long after
// it. A stream that goes on after a cut is on time if it pauses no longer than it may; one whose caller lost its connection is late
// already. Taken for new ones, they would go before requests that can still be served on time, at the moment when a host has died
// with all its streams (TestStreamsThatAreLateLetOthersGoFirst).
func (j *job) patience(now time.Time, takes time.Duration) time.Duration {
	switch {
	case !j.first.IsZero():
		heard := j.heard
		if heard.IsZero() {
			heard = j.first
		}
		return max(0, j.route.Gap-now.Sub(heard)-takes)
	case j.d.LastSeen != "":
		return 0
	}
	return max(0, j.route.Target-now.Sub(j.begun)-takes)
}

// waited reports whether asking for a turn ended because there is none in time.
func (j *job) waited(err error) bool {
	return errors.Is(err, intent.ErrLoadQueueFull) || errors.Is(err, context.DeadlineExceeded) && !time.Now().Before(j.hopeless())
}

// again reports whether the request may be sent to another upstream after a send that may have run.
func (j *job) again() bool {
	return j.route.Repeatable() && j.runs < max(1, j.route.Attempts)
}

// open reports whether the request may go to an upstream, as far as its earlier sends tell.
func (j *job) open(id string) bool {
	if j.only != nil {
		return id == j.only.ID
	}
	return !j.tried[id]
}

// place names an upstream in one incarnation.
func place(t target.Target) string {
	return t.ID + "/" + strconv.FormatInt(t.Incarnation, 36)
}

// fail remembers why a send did not serve the request.
func (j *job) fail(id string, r *refuse.Refusal) {
	j.skip(id)
	j.fault = r
}

// skip has an upstream not looked at again.
func (j *job) skip(id string) {
	if j.tried == nil {
		j.tried = map[string]bool{}
	}
	j.tried[id] = true
}

// verdict says whether the request may have run at any upstream so far.
func (j *job) verdict() verd.Verdict {
	if j.runs > 0 {
		return verd.MayHaveRun
	}
	return verd.NotRun
}

// waitedFor returns how long the request waited here before it was last sent: for its adapter, and for the prompts of others.
func (j *job) waitedFor() time.Duration {
	if j.sent.IsZero() {
		return 0
	}
	return j.sent.Sub(j.begun)
}
