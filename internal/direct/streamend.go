package direct

import (
	"context"
	"errors"
	"time"
)

// streamEnd is how the stream of one upstream ended.
type streamEnd int

const (
	endWhole   streamEnd = iota // the upstream sent all of it
	endLeft                     // the caller left
	endTimeout                  // the request's time ran out while the upstream sent
	endStalled                  // the request's time ran out while the upstream was silent
	endMoved                    // the upstream was silent, and was cut off since another one has room
	endHeld                     // the upstream broke off while its caller let the answer wait
	endBroken                   // the upstream broke off
)

// callerError means that the caller does not take the answer any more.
type callerError struct{ error }

// streamEnd tells how a stream ended from the error with which its copying did; silent says that no event had come for too long, excused that its
// caller had let the answer wait. The upstream is told how much time the request has, and may end the stream at that moment by itself: that is a
// timeout and not a break.
func (j *job) streamEnd(ctx context.Context, err error, silent, excused bool) streamEnd {
	var gone *callerError
	over := j.over(time.Now())
	switch {
	case err == nil:
		return endWhole
	case errors.As(err, &gone), ctx.Err() == context.Canceled && !over:
		return endLeft
	case over && silent:
		return endStalled
	case over:
		return endTimeout
	case j.next != nil:
		return endMoved
	case excused:
		return endHeld
	}
	return endBroken
}
