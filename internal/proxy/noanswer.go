package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/stats"
	"damaskreach/internal/target"
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
		// The caller left, and closing the connection told the upstream, which is not to blame.
		p.countSend(t, "left")
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
	}
	if j.timedOut(now) {
		p.refuse(j.w, j, refuse.NewRefusal(j.verdict(), refuse.Deadline, "not answered within %v", now.Sub(j.start).Round(time.Millisecond)))
		return true
	}
	if verdict != verd.NotRun && ctx.Err() == nil {
		p.recordBreak(j, t, false)
		p.recordCrash(j, t)
	}
	p.Pick.BackOff(t.ID, now)
	p.Log.Info("send failed", zap.String("request", j.req.ID), zap.String("target", t.ID), zap.Stringer("verdict", verdict),
		zap.Strings("parts", j.req.Parts), zap.Int("sends", j.sends), zap.Duration("since", now.Sub(j.start)), zap.Error(err))
	code := refuse.Crashed
	if verdict == verd.NotRun {
		code = refuse.NoUpstream
	}
	j.recordFailure(t.ID, refuse.NewRefusal(j.verdict(), code, "sending to %s failed", t.ID).WithRetry(defaultRetry))
	if verdict == verd.NotRun || j.allowResend() && !p.suspected(j, now) {
		return false
	}
	p.refuse(j.w, j, j.lastRefusal)
	return true
}

// recordBreak records that an upstream broke off or fell silent while it ran a request, unless this host's network was the
// cause or the upstream has resumed: the request would be taken for one that crashes upstreams, and refused everywhere.
func (p *Proxy) recordBreak(j *job, t target.Target, silent bool) {
	now := time.Now()
	if p.IsToBlame == nil {
		p.countBreak(j.req.ID, j.fingerprint, t, now)
		return
	}
	id, fingerprint, sent := j.req.ID, j.fingerprint, j.sentAt // the job may have ended when the goroutine runs
	go func() {
		if p.IsToBlame(t.Addr, sent, now, silent) {
			p.countBreak(id, fingerprint, t, now)
			return
		}
		p.Stats.Add(stats.Breaks, 1, "outcome", "excused")
		p.Log.Info("upstream not to blame for a break", zap.String("request", id), zap.String("print", fingerprint), zap.String("target", t.ID))
	}()
}

func (p *Proxy) countBreak(id, fingerprint string, t target.Target, broke time.Time) {
	n := p.Blame.RecordBreak(fingerprint, incarnation(t), broke, time.Now())
	p.Stats.Add(stats.Breaks, 1, "outcome", "counted")
	p.Log.Info("upstream broke off while running a request", zap.String("request", id), zap.String("print", fingerprint),
		zap.String("target", t.ID), zap.Int("upstreams", n))
}

// clearBreaks drops what is known against a request that was answered completely.
func (p *Proxy) clearBreaks(j *job, status int) {
	n := p.Blame.RecordSound(j.fingerprint, time.Now())
	if n == 0 {
		return
	}
	p.Stats.Add(stats.Breaks, int64(n), "outcome", "cleared")
	p.Log.Info("breaks of a request dropped after an answer", zap.String("request", j.req.ID), zap.String("print", j.fingerprint),
		zap.String("team", j.team.Name), zap.Int("status", status), zap.Int("upstreams", n))
}
