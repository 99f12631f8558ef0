package direct

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/target"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// unanswered takes a send without an answer; over is why the request was over by then, nil where it was not. One look tells: the request may end
// between two, and what is left of a host that ends would be taken for a caller's leaving.
func (x *Direct) unanswered(ctx context.Context, over error, j *job, t target.Target, err error) (done bool) {
	switch {
	case errors.Is(over, errEnding):
		return x.sendEnded(j, t, err)
	case errors.Is(over, context.Canceled):
		// The caller left, and the upstream was told by the end of its connection; it is not to blame.
		x.outcome(t, "left")
		x.finish(j, refuse.Canceled, verd.MayHaveRun, t.ID, 0)
		panic(http.ErrAbortHandler)
	}
	j.failed = true
	return x.sendFailed(ctx, j, t, err)
}

// sendEnded takes a send that was given up because the host ends; the upstream is not to blame.
func (x *Direct) sendEnded(j *job, t target.Target, err error) (done bool) {
	x.outcome(t, "left")
	if verd.Of(err) != verd.NotRun {
		j.runs++
	}
	x.refuse(j.w, j, hostEnds(j))
	return true
}

// sendFailed takes a send without an answer.
func (x *Direct) sendFailed(ctx context.Context, j *job, t target.Target, err error) (done bool) {
	now := time.Now()
	verdict := verd.Of(err)
	x.outcome(t, "failed")
	if verdict != verd.NotRun {
		j.runs++
	}
	if j.over(now) {
		x.refuse(j.w, j, refuse.NewRefusal(j.verdict(), refuse.Deadline, "not answered within %v", now.Sub(j.begun).Round(time.Millisecond)))
		return true
	}
	if verdict != verd.NotRun && ctx.Err() == nil {
		x.broke(j, t, false)
	}
	x.Pick.Rest(t.ID, now)
	x.Log.Info("send failed", zap.String("request", j.d.ID), zap.String("target", t.ID), zap.Stringer("verdict", verdict),
		zap.Int("sends", j.sends), zap.Duration("since", now.Sub(j.begun)), zap.Error(err))
	code := refuse.Crashed
	if verdict == verd.NotRun {
		code = refuse.NoUpstream
	}
	j.fail(t.ID, refuse.NewRefusal(j.verdict(), code, "sending to %s failed", t.ID).WithRetry(comeBack))
	if verdict == verd.NotRun || j.goesOn() && !x.Blame.Barred(j.print, now) {
		return false
	}
	x.refuse(j.w, j, j.fault)
	return true
}

// broke records that an upstream broke off, or fell silent, under a request, unless it was this host that lost its way to it, or the upstream goes on: the request
// would be taken for one that crashes upstreams, and refused everywhere.
func (x *Direct) broke(j *job, t target.Target, silent bool) {
	now := time.Now()
	if x.Blames == nil {
		x.blame(j.d.ID, j.print, t, now)
		return
	}
	id, mark, sent := j.d.ID, j.print, j.sent // the job may be over by then
	go func() {
		if x.Blames(t.Addr, sent, now, silent) {
			x.blame(id, mark, t, now)
		}
	}()
}

func (x *Direct) blame(id, mark string, t target.Target, at time.Time) {
	if n := x.Blame.Broke(mark, place(t), at); n > 1 {
		x.Log.Info("upstreams broke off under one request", zap.String("request", id), zap.String("print", mark),
			zap.String("target", t.ID), zap.Int("upstreams", n))
	}
}
