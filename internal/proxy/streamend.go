package proxy

import (
	"context"
	"errors"
	"time"
)

// streamEnd is how the stream of one upstream ended.
type streamEnd int

const (
	endComplete   streamEnd = iota // the upstream sent all of it
	endCallerLeft                  // the caller disconnected
	endTimeout                     // the request's time ran out while the upstream was sending
	endStalled                     // the request's time ran out while the upstream was silent
	endMoved                       // cut because the upstream was silent and another one has room
	endCallerSlow                  // the upstream broke off after its caller had stopped reading for a while
	endBroken                      // the upstream broke off
)

// callerError is a failure to write the answer to the caller.
type callerError struct{ error }

// streamEnd derives how a stream ended from the error of copying it. silent says that the upstream had been silent for too
// long, excused that the caller had stopped reading for a while. At the deadline the upstream, which knows it, may end the
// stream first: that is a timeout and not a break.
func (j *job) streamEnd(ctx context.Context, err error, silent, excused bool) streamEnd {
	var callerGone *callerError
	timedOut := j.timedOut(time.Now())
	switch {
	case err == nil:
		return endComplete
	case errors.As(err, &callerGone), ctx.Err() == context.Canceled && !timedOut:
		return endCallerLeft
	case timedOut && silent:
		return endStalled
	case timedOut:
		return endTimeout
	case j.nextPlacement != nil:
		return endMoved
	case excused:
		return endCallerSlow
	}
	return endBroken
}
