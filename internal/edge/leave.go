package edge

import (
	"net"
	"time"

	"go.uber.org/zap"
)

const (
	// leaveDelay is how long a leaving host serves as before: lookups stop naming it at once, but callers cache their answers.
	leaveDelay = 2 * time.Second
	// exitReserve is the part of the grace period kept for the exit of the process itself.
	exitReserve = 600 * time.Millisecond
	// finalAnswerReserve is how long before that a leaving host sends pending requests their final answers.
	finalAnswerReserve = 250 * time.Millisecond
	// minIdle is how long a connection to a leaving host must be idle to be closed: a caller that just got an answer is likely to send its
	// next request.
	minIdle = 50 * time.Millisecond
)

// leave takes the host out of lookups, serves on while callers use cached answers, and then waits until no caller is connected. It calls closeEntry when a
// request that comes then may not finish any more: streams run for seconds, and a caller whose stream began before the signal may send its next
// request on the same connection at any time. If some callers still are connected shortly before the grace period ends, it calls end, which
// sends pending requests their final answers: closing their connections instead would not tell the callers whether the requests ran.
func (e *Edge) leave(callers net.Listener, closeEntry, end func()) {
	start := time.Now()
	grace := e.Setup().Grace - exitReserve
	e.leaving.Store(true)
	e.tenure.ReturnPart(e.spare.Close().Encode())
	e.Log.Info("leaving", zap.Duration("grace", grace))
	defer time.AfterFunc(min(leaveDelay, e.Setup().Grace/3)+minIdle, closeEntry).Stop()
	time.Sleep(min(leaveDelay, grace/3))
	if err := callers.Close(); err != nil {
		e.Log.Debug("failed to close the listener for callers", zap.Error(err))
	}
	left := e.drain(start.Add(grace - finalAnswerReserve))
	if left > 0 {
		end()
		left = e.drain(start.Add(grace))
	}
	e.Log.Info("stopped", zap.Duration("after", time.Since(start)), zap.Int("connections", left))
}

// drain closes callers' connections as they become idle until none is left, nor one forwarded for another host, or the deadline passes. It
// returns how many are left.
func (e *Edge) drain(deadline time.Time) int {
	for {
		left := e.conns.CloseIdle(minIdle) + int(e.forwardedConns.Load())
		remaining := time.Until(deadline)
		if left == 0 || remaining <= 0 {
			return left
		}
		time.Sleep(min(minIdle, remaining))
	}
}
