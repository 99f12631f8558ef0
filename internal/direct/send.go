package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/kinds"
	"damaskreach/internal/notice"
	"damaskreach/internal/resp"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
	"damaskreach/internal/ticker"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	// mostSends bounds the sends of a request whose answer has not begun, rejected ones included.
	mostSends = 3
	// mostBody is the largest answer that is read before it is passed on.
	mostBody = 8 << 20
	// brittleRest is how long a brittle upstream is left alone that had no room: its rejections count by the second.
	brittleRest = time.Second
)

// serve sends a request until it is answered or refused.
func (x *Direct) serve(ctx context.Context, j *job) {
	for {
		next, refusal := x.next(ctx, j)
		if refusal != nil {
			x.refuse(j.w, j, refusal)
			return
		}
		j.sends++
		if done := x.send(ctx, j, next.target, next.version); done {
			return
		}
		if j.sends < mostSends {
			continue
		}
		if !j.headed {
			x.refuse(j.w, j, j.fault)
			return
		}
		ticker.Sleep(ctx, moveAgain) // all requests share the bound on repeats
	}
}

// next returns where the request goes: where its place was found already, or else where it finds one. A stream that has begun looks until its
// time is over: its caller would lose what it has.
func (x *Direct) next(ctx context.Context, j *job) (choice, *refuse.Refusal) {
	if next := j.next; next != nil {
		j.next, j.turn = nil, next.turn
		return *next, nil
	}
	for {
		next, refusal := x.find(ctx, j)
		if refusal == nil || !j.headed || x.onlyGone(j) || !ticker.Sleep(ctx, moveAgain) {
			return next, refusal
		}
		j.tried = nil // what did not serve it a moment ago may do so now, and there is nothing to lose
	}
}

// find finds the request a place, for a repeat within the bound on those.
func (x *Direct) find(ctx context.Context, j *job) (choice, *refuse.Refusal) {
	t, version, refusal := x.place(ctx, j)
	if refusal != nil && j.fault != nil {
		return choice{}, j.fault.WithRetry(max(j.fault.Retry, refusal.Retry))
	}
	if refusal != nil {
		return choice{}, refusal
	}
	if j.sends == 0 {
		x.Spare.First(j.group)
	} else if !x.Spare.Again(j.group) {
		return choice{}, j.fault
	}
	return choice{t, version, j.turn}, nil
}

// send sends the request to one upstream; it reports true where the caller has its final answer.
func (x *Direct) send(ctx context.Context, j *job, t target.Target, version int) (done bool) {
	left := time.Until(j.deadline())
	if left <= 0 {
		x.refuse(j.w, j, x.ended(ctx, j))
		return true
	}
	if j.d.Model != "" {
		j.expected = x.takes(j, t.ID)
		defer x.Use(t.ID, j.d.Adapter)()
	}
	x.Pick.Begin(t.ID)
	j.failed = false
	defer x.release(&j.turn, false)
	defer x.vacate(j, t)
	defer func() { x.Pick.End(t.ID, j.failed) }()
	caller := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := x.watch(j, left, cancel)
	defer watch.Stop()
	j.sent = time.Now()
	j.version = version
	r, err := x.Do(ctx, t.Addr, j.d, x.Headers(t.ID, left, version, j.last), func() bool { return x.still(t) })
	if err != nil {
		return x.unanswered(ctx, context.Cause(caller), j, t, err)
	}
	defer r.Close()
	if j.streams(r) && !watch.Stop() {
		cancel()
		j.failed = true
		return x.sendFailed(ctx, j, t, errPatience)
	}
	return x.answered(caller, j, t, r)
}

// streams reports whether an answer is passed on event by event.
func (j *job) streams(r resp.Resp) bool {
	return j.route.Kind == kinds.Stream && r.Status == http.StatusOK
}

// answered takes an upstream's answer; it reports true where the caller has its final answer.
func (x *Direct) answered(ctx context.Context, j *job, t target.Target, r resp.Resp) (done bool) {
	x.heed(t, r)
	if x.NotRun(r.Status, r.Header) {
		x.rejected(j, t, r)
		// One that asks for rest has said when to use it again; the record of failures would keep it from that.
		j.failed = r.Status != http.StatusMisdirectedRequest && x.Avoid.Rest(t.ID, time.Now()) == 0
		return false
	}
	j.runs++
	broken := r.Status >= http.StatusInternalServerError
	if broken && j.again() && j.sends < mostSends && j.route.Kind == kinds.Idempotent {
		x.outcome(t, strconv.Itoa(r.Status/100)+"xx")
		j.fail(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Crashed, "the upstream answered %d", r.Status))
		j.failed = true
		return false
	}
	if j.headed && r.Status != http.StatusOK {
		j.failed = true
		return x.notResumed(j, t, r)
	}
	if j.streams(r) {
		return x.relay(ctx, j, t, r)
	}
	return x.whole(ctx, j, t, r)
}

// notResumed takes an answer other than a stream from an engine at which a stream should go on. Nothing of it may reach the
// caller: behind the events that went out it would look like the end of the stream.
func (x *Direct) notResumed(j *job, t target.Target, r resp.Resp) (done bool) {
	x.outcome(t, "not-resumed")
	x.Log.Info("not resumed", zap.String("request", j.d.ID), zap.String("target", t.ID), zap.Int("status", r.Status))
	j.fail(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "the stream could not go on at %s", t.ID))
	if j.goesOn() {
		return false
	}
	x.refuse(j.w, j, j.fault)
	return true
}

// outcome counts how a send ended: "ok", "cut", "timeout", "failed", "left", "rejected", "not-resumed", or a class of statuses.
func (x *Direct) outcome(t target.Target, outcome string) {
	x.Stats.Add(stats.Sends, 1, "upstream", t.ID, "outcome", outcome)
}

// over reports whether the request's time has ended.
func (j *job) over(now time.Time) bool {
	return !now.Before(j.deadline().Add(-time.Millisecond))
}

// rejected takes an answer that says the request was not run.
func (x *Direct) rejected(j *job, t target.Target, r resp.Resp) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, mostBody)); err != nil {
		x.Log.Debug("rejection cut off", zap.String("target", t.ID), zap.Error(err))
	}
	now := time.Now()
	if r.Status == http.StatusMisdirectedRequest && j.d.Adapter != "" {
		x.Holds.Miss(t.ID, j.d.Adapter, now)
	}
	j.away = r.Status == http.StatusServiceUnavailable
	if j.away && x.Flight.Brittle(t) {
		x.Avoid.Hear(t, notice.Notice{Rest: brittleRest}, now)
	}
	x.outcome(t, "rejected")
	x.Log.Info("rejected", zap.String("request", j.d.ID), zap.String("target", t.ID), zap.Int("status", r.Status),
		zap.String("adapter", j.d.Adapter), zap.Duration("since", now.Sub(j.begun)), zap.String("note", j.note))
	j.fail(t.ID, refuse.NewRefusal(j.verdict(), refuse.Overloaded, "%s rejected the request", t.ID).WithRetry(comeBack))
}

// whole passes on an answer that is read to its end first, so that one which breaks off can be replaced.
func (x *Direct) whole(ctx context.Context, j *job, t target.Target, r resp.Resp) (done bool) {
	data, err := io.ReadAll(io.LimitReader(r.Body, mostBody+1))
	if err == nil && len(data) > mostBody {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		x.outcome(t, "cut")
		x.Log.Info("answer cut", zap.String("request", j.d.ID), zap.String("target", t.ID), zap.Int("bytes", len(data)), zap.Error(err))
		j.fail(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "the answer of %s broke off", t.ID))
		j.failed = true
		if ctx.Err() == nil && j.again() {
			return false
		}
		x.refuse(j.w, j, j.fault)
		return true
	}
	head(j.w.Header(), r.Header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	j.w.WriteHeader(r.Status)
	j.headed = true
	j.first = time.Now()
	if _, err := j.w.Write(data); err != nil {
		x.Log.Debug("caller left", zap.String("request", j.d.ID), zap.Error(err))
	}
	x.outcome(t, strconv.Itoa(r.Status/100)+"xx")
	x.finish(j, "ok", verd.Ran, t.ID, r.Status)
	j.failed = r.Status >= http.StatusInternalServerError
	return true
}

// hop are the headers that concern one connection only.
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Proxy-Connection": true,
}

// head copies an answer's headers but for those that concern the connection to the upstream.
func head(dst, src http.Header) {
	for name, values := range src {
		if !hop[name] {
			dst[name] = values
		}
	}
}
