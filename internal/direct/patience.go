package direct

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// patience is how many times its target time a repeatable request waits for one upstream before it tries another.
const patience = 3

// errPatience is why a send failed whose answer began in the moment in which it was given up.
var errPatience = merry.Sentinel("direct: answered too late")

// watch cancels a send that could be repeated elsewhere and has not been answered for long: an upstream may take requests
// and never answer them while its health check is good.
func (x *Direct) watch(j *job, left time.Duration, cancel context.CancelFunc) *time.Timer {
	wait := left
	if j.again() && j.runs+1 < max(1, j.route.Attempts) && j.route.Target > 0 {
		wait = min(patience*j.route.Target, left*6/10)
	}
	return time.AfterFunc(wait, cancel)
}
