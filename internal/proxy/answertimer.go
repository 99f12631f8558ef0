package proxy

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// answerTargets is how many times its target time a repeatable request waits for one upstream before it tries another.
const answerTargets = 3

// errAnsweredTooLate is the failure of a send whose answer came just as the send was given up.
var errAnsweredTooLate = merry.Sentinel("proxy: answered too late")

// startAnswerTimer starts a timer that cancels a send at its deadline, or sooner if it could be repeated elsewhere: an upstream
// may accept requests and never answer them while its health check succeeds.
func (p *Proxy) startAnswerTimer(j *job, left time.Duration, cancel context.CancelFunc) *time.Timer {
	wait := left
	if j.mayRunAgain() && j.attempts()+1 < max(1, j.route.Attempts) && j.route.Target > 0 {
		wait = min(answerTargets*j.route.Target, left*6/10)
	}
	return time.AfterFunc(wait, cancel)
}
