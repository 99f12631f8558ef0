package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/target"
	"damaskreach/internal/uplink"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// handleNoAnswer handles a send without an answer. cause is why the request's context had ended by then, nil if it had not. It
// is read only once: the context may end between two reads, and a stopping host would be taken for a caller that left.
func (p *Proxy) handleNoAnswer(ctx context.Context, cause error, j *job, t target.Target, err error) (done bool) {
	switch {
	case errors.Is(cause, errHostStopping):
		return p.handleHostStopping(j, t, err)
	case errors.Is(cause, context.Canceled):
		// The caller left, and closing the connection told the upstream, which is not to blame so far.
		p.countSend(t, "left")
		if verd.Of(err) != verd.NotRun {
			p.Guard.RecordGivenUp(j.run, j.suspect(), t, j.deadline())
		}
		p.finish(j, refuse.Canceled, verd.MayHaveRun, t.ID, 0)
		panic(http.ErrAbortHandler)
	}
	j.upstreamFailed = true
	return p.handleFailedSend(ctx, j, t, err)
}

// handleHostStopping handles a send that was given up because the host stops; the upstream is not to blame.
func (p *Proxy) handleHostStopping(j *job, t target.Target, err error) (done bool) {
	p.countSend(t, "left")
	if verd.Of(err) != verd.NotRun {
		j.runs++
	}
	p.refuse(j.w, j, hostStopping(j))
	return true
}

// handleFailedSend handles a send that failed without an answer.
func (p *Proxy) handleFailedSend(ctx context.Context, j *job, t target.Target, err error) (done bool) {
	now := time.Now()
	verdict := verd.Of(err)
	p.countSend(t, "failed")
	if verdict != verd.NotRun {
		j.runs++
		if ctx.Err() != nil {
			p.Guard.RecordGivenUp(j.run, j.suspect(), t, j.deadline())
		}
	}
	if j.timedOut(now) {
		p.refuse(j.w, j, refuse.NewRefusal(j.verdict(), refuse.Deadline, "not answered within %v", now.Sub(j.start).Round(time.Millisecond)))
		return true
	}
	if verdict != verd.NotRun && ctx.Err() == nil && !uplink.Answered(err) {
		p.Guard.RecordBreak(j.suspect(), t, j.sentAt, false)
	}
	p.Pick.BackOff(t.ID, now)
	p.Log.Info("send failed", zap.String("request", j.req.ID), zap.String("target", t.ID), zap.Stringer("verdict", verdict),
		zap.Bool("canceled", ctx.Err() != nil), zap.String("print", j.ident.Fingerprint), zap.Strings("parts", j.req.Parts),
		zap.Int("sends", j.sends), zap.Duration("since", now.Sub(j.start)), zap.Error(err))
	code := refuse.Crashed
	if verdict == verd.NotRun {
		code = refuse.NoUpstream
	}
	j.recordFailure(t.ID, refuse.NewRefusal(j.verdict(), code, "sending to %s failed", t.ID).WithRetry(defaultRetry))
	if verdict == verd.NotRun || j.allowResend() && p.Guard.MayRetry(j.suspect(), now) {
		return false
	}
	p.refuse(j.w, j, j.lastRefusal)
	return true
}
