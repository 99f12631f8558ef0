package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"damaskreach/internal/demand"
	"damaskreach/internal/doubt"
	"damaskreach/internal/events"
	"damaskreach/internal/ident"
	"damaskreach/internal/intent"
	"damaskreach/internal/kinds"
	"damaskreach/internal/resp"
	"damaskreach/internal/room"
	"damaskreach/internal/route"
	"damaskreach/internal/target"
	"damaskreach/internal/team"
	"damaskreach/internal/view"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// maxRequestTime is the longest time for which any request is kept.
const maxRequestTime = 5 * time.Minute

// job is the state of one request. It belongs to the goroutine that serves the request.
type job struct {
	req   demand.Demand
	w     http.ResponseWriter
	view  view.View
	route route.Route
	team  team.Team // of the caller; empty where callers need no key
	group string
	ident ident.Ident
	start time.Time

	sends          int             // to upstreams, including rejected ones
	runs           int             // sends that may have run
	rejections     int             // sends that were rejected, but for misses
	tried          map[string]bool // ids of upstreams that failed or rejected it
	movedFrom      *target.Target  // upstream at which the stream was cut because it was silent; nil if none
	pinned         *target.Target  // the one upstream where it may continue; nil for any
	lastRefusal    *refuse.Refusal // of the last send that failed
	upstreamFailed bool            // the current send failed because of its upstream; a field since refuse may panic
	units          float64         // charged against its team's limit; 0 without a limit
	nextPlacement  *placement      // of the next send, if found in advance; otherwise nil
	turn           turn            // currently held at an engine
	permit         turn            // under which it is counted at a brittle upstream
	part           *room.Room      // of its connection
	bodyRoom       int64           // bytes of part that its body holds
	rejectedFull   bool            // the upstream rejected it for lack of room
	refund         func()          // undoes the charge against the team's limit; nil if nothing was charged
	sound          bool            // it has run long enough not to crash its engine
	begun          bool            // the caller has events of the stream
	build          string          // that began the stream, if it has begun: no other can go on with it
	sentBuild      string          // build of the upstream of the last send
	version        int             // of the adapter that the last send required; 0 means any
	passed         events.Passed   // how far its stream has been passed on
	noOwnerSince   time.Time       // since when it waits for an engine that can load its adapter
	headerSent     bool            // the status has been sent to the caller
	detachFromStop func() bool     // keeps the request from being canceled when its host stops
	firstByteAt    time.Time       // when the first byte of the answer went to the caller
	sentAt         time.Time       // when it was last sent to an upstream
	run            uint64          // number of that send for the guard
	lastEventAt    time.Time       // when the newest events went to the caller
	longestPause   time.Duration   // between two events
	expectedFirst  time.Duration   // from the last send to the first event
	note           string          // placement decisions, for the request's log line
}

// turn is the permission to send one prompt to an engine.
type turn struct {
	engine string
	number uint64 // 0 for none
}

// addNote adds a placement decision to the request's log line.
func (j *job) addNote(what string) {
	if j.note != "" {
		j.note += " "
	}
	j.note += what
}

// rank returns how urgent the request is, 0 being the most urgent. A team's rank overrides its route's.
func (j *job) rank() int {
	if j.team.Ranked {
		return j.team.Rank
	}
	return j.route.Priority
}

// deadline returns the time by which the request gets its final answer.
func (j *job) deadline() time.Time {
	limit := maxRequestTime
	if j.route.Timeout > 0 {
		limit = min(limit, j.route.Timeout)
	}
	if j.req.Wait > 0 {
		limit = min(limit, j.req.Wait)
	}
	return j.start.Add(limit)
}

const (
	// minCallerWait, waitTargets and waitGaps define how long callers wait for the first event of a stream: the longest of a fixed time,
	// a multiple of the route's target and a multiple of its longest pause. The user documentation states this.
	minCallerWait = 2 * time.Second
	waitTargets   = 4
	waitGaps      = 8
	// maxQueueShare is the share of that for which a request may wait here. Sent any later, it would run for a caller that has left.
	maxQueueShare = 0.7
)

// sendDeadline returns the time at which a request that has not been sent yet is refused, early enough for its caller to retry
// instead of giving up. Once a part of the answer has been sent, a retry is of no use, and the whole time counts.
func (j *job) sendDeadline() time.Time {
	deadline := j.deadline()
	if j.headerSent {
		return deadline
	}
	if j.route.Kind == kinds.Stream {
		callerWait := max(minCallerWait, waitTargets*j.route.Target, waitGaps*j.route.Gap)
		deadline = j.start.Add(min(deadline.Sub(j.start), callerWait))
	}
	return j.start.Add(time.Duration(maxQueueShare * float64(deadline.Sub(j.start))))
}

// isTakenUp reports whether the request's caller comes back with a stream that broke off, and has no event of the rest yet. Such streams go before new ones
// of their route: an overload would leave them no turn at all, and their callers lose what they have.
func (j *job) isTakenUp() bool {
	return j.req.LastSeen != "" && j.firstByteAt.IsZero()
}

// waitBudget returns how long the request may wait for its turn and still be on time, if the first event comes firstEvent after
// the turn. A stream that continues after a cut is on time if its pause isn't too long; one whose caller reconnects is late
// already, and loads no replicas of its adapter.
func (j *job) waitBudget(now time.Time, firstEvent time.Duration) time.Duration {
	switch {
	case !j.firstByteAt.IsZero():
		last := j.lastEventAt
		if last.IsZero() {
			last = j.firstByteAt
		}
		return max(0, j.route.Gap-now.Sub(last)-firstEvent)
	case j.req.LastSeen != "":
		return 0
	}
	return max(0, j.route.Target-now.Sub(j.start)-firstEvent)
}

// noTurnInTime reports whether a request for a turn failed because none is available in time.
func (j *job) noTurnInTime(err error) bool {
	return errors.Is(err, intent.ErrLoadQueueFull) || errors.Is(err, context.DeadlineExceeded) && !time.Now().Before(j.sendDeadline())
}

// mayRunAgain reports whether the request may be sent to another upstream after a send that may have run.
func (j *job) mayRunAgain() bool {
	return j.route.Repeatable() && j.attempts() < max(1, j.route.Attempts)
}

// attempts returns how many sends count against the attempts of the request's route: rejected ones too, since an upstream may run what it rejects. A
// stream that has begun goes on whatever was rejected before: its caller would lose the part that it has.
func (j *job) attempts() int {
	if j.headerSent {
		return j.runs
	}
	return j.runs + j.rejections
}

// mayFollowRejection reports whether a rejected request may be sent to another upstream. One that may run once has its own proof that it was not run,
// see takenBack.
func (j *job) mayFollowRejection() bool {
	return j.headerSent || !j.route.Repeatable() || j.mayRunAgain()
}

// isMiss reports whether an engine states that it does not hold what the request needs. That is found out by sending it, and says that it cannot
// have run.
func (j *job) isMiss(r resp.Resp) bool {
	return j.req.Adapter != "" && r.Status == http.StatusMisdirectedRequest && r.Rejected && r.Doubt == doubt.None
}

// mayUse reports whether the request's earlier sends allow an upstream.
func (j *job) mayUse(t target.Target) bool {
	if !j.canGoOnAt(t) {
		return false
	}
	if j.pinned != nil {
		return t.ID == j.pinned.ID
	}
	return !j.tried[t.ID]
}

// recordFailure records why a send failed and excludes its upstream.
func (j *job) recordFailure(id string, r *refuse.Refusal) {
	j.skip(id)
	j.lastRefusal = r
}

// skip excludes an upstream from further sends.
func (j *job) skip(id string) {
	if j.tried == nil {
		j.tried = map[string]bool{}
	}
	j.tried[id] = true
}

// verdict returns whether the request may have run at any upstream so far.
func (j *job) verdict() verd.Verdict {
	if j.runs > 0 {
		return verd.MayHaveRun
	}
	return verd.NotRun
}

// queueTime returns how long the request waited here before its last send: for its adapter to load and for its turn.
func (j *job) queueTime() time.Duration {
	if j.sentAt.IsZero() {
		return 0
	}
	return j.sentAt.Sub(j.start)
}
