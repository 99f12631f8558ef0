package edge

import (
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	// stayFor is how long a leaving host serves as before: lookups stop naming it at once, and callers keep their answers.
	stayFor = 2 * time.Second
	// endSlack is how much of the grace is kept for the end of the process itself.
	endSlack = 600 * time.Millisecond
	// lastAnswers is how long before that a leaving host gives the requests that it still has their final answers.
	lastAnswers = 250 * time.Millisecond
	// leastIdle is how long a connection to a leaving host must have been idle to be closed: the next request of a caller
	// that has just got an answer is likely.
	leastIdle = 50 * time.Millisecond
)

// late reports whether a request that comes now may not end before the host does. Streams run for seconds; a caller whose
// stream began before the signal may send its next request on the same connection at any time.
func (e *Edge) late() bool {
	if !e.leaving.Load() {
		return false
	}
	return time.Since(time.Unix(0, e.leftAt.Load())) > min(stayFor, e.Setup().Grace/3)+leastIdle
}

// leave takes the host out of lookups, serves on while callers keep their answers, and then waits until no caller has a connection any more. Where
// one still has when little of the grace is left, it calls end, which gives the requests that have no answer yet their final ones: a connection
// that is closed instead would not tell the caller whether the request ran.
func (e *Edge) leave(callers net.Listener, end func()) {
	began := time.Now()
	grace := e.Setup().Grace - endSlack
	e.leftAt.Store(began.UnixNano())
	e.leaving.Store(true)
	e.Log.Info("leaving", zap.Duration("grace", grace))
	time.Sleep(min(stayFor, grace/3))
	if err := callers.Close(); err != nil {
		e.Log.Debug("port for callers not closed", zap.Error(err))
	}
	left := e.drain(began.Add(grace - lastAnswers))
	if left > 0 {
		end()
		left = e.drain(began.Add(grace))
	}
	e.Log.Info("stopped", zap.Duration("after", time.Since(began)), zap.Int("connections", left))
}

// drain closes callers' connections as they become idle, until none is left, nor one to an upstream that another host uses, or the time has come, and
// returns how many are left.
func (e *Edge) drain(until time.Time) int {
	for {
		left := e.conns.CloseIdle(leastIdle) + int(e.passes.Load())
		rest := time.Until(until)
		if left == 0 || rest <= 0 {
			return left
		}
		time.Sleep(min(leastIdle, rest))
	}
}
