package proxy

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
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
	// maxSends bounds the sends of a request whose answer has not begun, including rejected ones.
	maxSends = 3
	// maxRejectionBytes and rejectionTimeout bound the body of a rejection that is read.
	maxRejectionBytes = 32 << 10
	rejectionTimeout  = 100 * time.Millisecond
	// brittlePause is the pause for a brittle upstream that rejected a request for lack of room: its rejections count per second.
	brittlePause = time.Second
)

// serve sends a request to upstreams until it is answered or refused.
func (p *Proxy) serve(ctx context.Context, j *job) {
	if refusal := p.findOrigin(ctx, j); refusal != nil {
		p.refuse(j.w, j, refusal)
		return
	}
	for {
		next, refusal := p.awaitPlacement(ctx, j)
		if refusal != nil {
			p.refuse(j.w, j, refusal)
			return
		}
		if refusal := cmp.Or(p.closing(j), p.blocked(j)); refusal != nil {
			p.releasePermit(j, next.target)
			p.refuse(j.w, j, refusal)
			return
		}
		j.sends++
		if done := p.send(ctx, j, next.target, next.version); done {
			return
		}
		if j.sends < maxSends {
			continue
		}
		if !j.headerSent {
			p.refuse(j.w, j, j.lastRefusal)
			return
		}
		ticker.Sleep(ctx, placementInterval) // limits the use of the retry budget, which all requests share
	}
}

// nextPlacement returns where the request goes next: a placement found in advance, or a new one. A stream that has begun keeps
// trying until its deadline, since its caller would lose the part that it has.
func (p *Proxy) nextPlacement(ctx context.Context, j *job) (placement, *refuse.Refusal) {
	if next := j.nextPlacement; next != nil {
		j.nextPlacement, j.turn = nil, next.turn
		if j.canGoOnAt(next.target) {
			return *next, nil
		}
		// Its first event came just as the silent stream was cut, so that it can no longer go on at any build.
		p.releaseTurn(&j.turn, false)
	}
	for {
		next, refusal := p.findPlacement(ctx, j)
		if refusal == nil || !j.headerSent || p.pinnedGone(j) || p.buildGone(j) || !ticker.Sleep(ctx, placementInterval) {
			return next, refusal
		}
		j.tried = nil // upstreams that failed it may serve it by now, and there is nothing to lose
	}
}

// findPlacement finds an upstream for the request; for a retry, only within the retry budget.
func (p *Proxy) findPlacement(ctx context.Context, j *job) (placement, *refuse.Refusal) {
	t, version, refusal := p.place(ctx, j)
	if refusal != nil && j.lastRefusal != nil {
		return placement{}, j.lastRefusal.WithRetry(max(j.lastRefusal.Retry, refusal.Retry))
	}
	if refusal != nil {
		return placement{}, refusal
	}
	if j.sends == 0 {
		p.Spare.CountFirst(j.group)
	} else if !p.tryRetry(j) {
		return placement{}, j.lastRefusal
	}
	return placement{t, version, j.turn}, nil
}

// tryRetry reports whether the retry budget allows one more send of the request.
func (p *Proxy) tryRetry(j *job) bool {
	if p.Spare.TryRetry(j.group, j.req.ID) {
		p.Stats.Add(stats.Retries, 1, "group", j.group, "outcome", "allowed")
		return true
	}
	p.Stats.Add(stats.Retries, 1, "group", j.group, "outcome", "denied")
	used, bound, extra, hosts := p.Spare.Usage(j.group)
	last, before := p.Spare.Requests(j.group)
	p.Log.Info("no retry left", zap.String("request", j.req.ID), zap.String("group", j.group), zap.Int("sends", j.sends),
		zap.Float64("used", used), zap.Float64("bound", bound), zap.Float64("extra", extra), zap.Int("hosts", hosts),
		zap.Int("requests", last), zap.Int("before", before), zap.Int("late", p.Spare.Late(j.group)))
	return false
}

// send sends the request to one upstream. It returns true if the caller has its final answer.
func (p *Proxy) send(ctx context.Context, j *job, t target.Target, version int) (done bool) {
	left := time.Until(j.deadline())
	if left <= 0 {
		p.refuse(j.w, j, p.contextRefusal(ctx, j))
		return true
	}
	if j.req.Model != "" {
		j.expectedFirst = p.firstEventDelay(j, t.ID)
		defer p.Use(t.ID, j.req.Adapter)()
	}
	p.Pick.Begin(t.ID)
	j.upstreamFailed = false
	defer p.releaseTurn(&j.turn, false)
	defer p.releasePermit(j, t)
	defer func() { p.Pick.End(t.ID, j.upstreamFailed) }()
	requestCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := p.startAnswerTimer(j, left, cancel)
	defer timer.Stop()
	j.sentAt = time.Now()
	j.run = p.Guard.Begin(j.suspect(), t, j.sentAt)
	defer p.Guard.End(j.run)
	j.version, j.sentBuild = version, t.Build
	// Opening the connection may take a good part of the time that is left.
	headers := func() http.Header { return p.Headers(t.ID, time.Until(j.deadline()), version, j.passed.Last()) }
	r, err := p.Send(ctx, t.Addr, j.req, headers, func() bool { return p.usable(t) })
	if err != nil && verd.Of(err) == verd.NotRun {
		p.Guard.Miss(j.run)
	}
	if err != nil {
		if ctx.Err() != nil && verd.Of(err) != verd.NotRun {
			p.Spare.GaveUp(j.group, j.req.ID, t.Addr)
		}
		return p.handleNoAnswer(ctx, context.Cause(requestCtx), j, t, err)
	}
	defer r.Close()
	if j.isStream(r) && !timer.Stop() {
		cancel()
		j.upstreamFailed = true
		return p.handleFailedSend(ctx, j, t, errAnsweredTooLate)
	}
	return p.handleAnswer(requestCtx, ctx, j, t, r)
}

// isStream reports whether an answer is passed on event by event.
func (j *job) isStream(r resp.Resp) bool {
	return j.route.Kind == kinds.Stream && r.Status == http.StatusOK
}

// handleAnswer handles an upstream's answer. It returns true if the caller has its final answer.
func (p *Proxy) handleAnswer(ctx, sendCtx context.Context, j *job, t target.Target, r resp.Resp) (done bool) {
	p.applyNotice(t, r)
	verdict := r.Verdict(j.route.Repeatable())
	if verdict == verd.NotRun {
		p.skipRejection(t, r)
		if later, ok := p.takenBack(j, t, r); ok {
			defer later.Close()
			return p.handleAnswer(ctx, sendCtx, j, t, later)
		}
		p.Guard.Reject(j.run)
		p.handleRejection(j, t, r)
		// A backoff for the failure could outlast a pause that the upstream itself has asked for.
		j.upstreamFailed = r.Status != http.StatusMisdirectedRequest && p.Avoid.Pause(t.ID, time.Now()) == 0
		if j.mayFollowRejection() {
			return false
		}
		p.refuse(j.w, j, j.lastRefusal)
		return true
	}
	j.runs++
	if verdict == verd.MayHaveRun && !j.headerSent {
		return p.handleUnclear(j, t, r)
	}
	serverError := r.Status >= http.StatusInternalServerError
	if serverError && j.mayRunAgain() && j.sends < maxSends && j.route.Kind == kinds.Idempotent {
		p.skipRejection(t, r)
		p.Guard.RecordAnswer(j.run, r.Status, time.Now())
		p.countSend(t, strconv.Itoa(r.Status/100)+"xx")
		j.recordFailure(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Crashed, "the upstream answered %d", r.Status))
		j.upstreamFailed = true
		return false
	}
	if j.headerSent && r.Status != http.StatusOK {
		j.upstreamFailed = true
		return p.handleNotResumed(j, t, r)
	}
	if j.isStream(r) {
		return p.relay(ctx, j, t, r)
	}
	return p.relayWhole(ctx, sendCtx, j, t, r)
}

// handleUnclear handles an answer that would tell the caller that its request has not run, though the upstream does not state that. Passed on, it
// would have the caller send a booking again that has run.
func (p *Proxy) handleUnclear(j *job, t target.Target, r resp.Resp) (done bool) {
	p.countSend(t, refuse.Unclear)
	p.Log.Info("answer leaves unclear whether the request has run", zap.String("request", j.req.ID), zap.String("target", t.ID),
		zap.Int("status", r.Status), zap.Bool("rejected", r.Rejected))
	j.recordFailure(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Unclear, "%s answered %d and did not state whether it has run the request", t.ID, r.Status))
	j.upstreamFailed = true
	if j.mayRunAgain() {
		return false
	}
	p.refuse(j.w, j, j.lastRefusal)
	return true
}

// handleNotResumed handles an answer other than a stream from an engine that was to continue one. None of it may reach the
// caller: after the events that were passed on it would look like the end of the stream.
func (p *Proxy) handleNotResumed(j *job, t target.Target, r resp.Resp) (done bool) {
	p.countSend(t, "not-resumed")
	p.Log.Info("stream not resumed", zap.String("request", j.req.ID), zap.String("target", t.ID), zap.Int("status", r.Status))
	j.recordFailure(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "the stream could not go on at %s", t.ID))
	if j.allowResend() {
		return false
	}
	p.refuse(j.w, j, j.lastRefusal)
	return true
}

// countSend counts a send by its outcome: "ok", "cut", "timeout", "failed", "left", "rejected", "taken-back", "unclear", "not-resumed", or a class of statuses.
func (p *Proxy) countSend(t target.Target, outcome string) {
	p.Stats.Add(stats.Sends, 1, "upstream", t.ID, "outcome", outcome)
}

// timedOut reports whether the request's deadline has passed.
func (j *job) timedOut(now time.Time) bool {
	return !now.Before(j.deadline().Add(-time.Millisecond))
}

// handleRejection handles an answer that says the request was not run.
func (p *Proxy) handleRejection(j *job, t target.Target, r resp.Resp) {
	now := time.Now()
	if r.Status == http.StatusMisdirectedRequest && j.req.Adapter != "" {
		p.Holds.RecordMiss(t.ID, j.req.Adapter, now)
	}
	j.rejectedFull = r.Status == http.StatusServiceUnavailable
	if j.rejectedFull && p.Flight.Brittle(t) {
		p.Avoid.Record(t, notice.Notice{Rest: brittlePause}, now)
	}
	p.countSend(t, "rejected")
	p.Stats.Add(stats.Rejections, 1, "status", strconv.Itoa(r.Status), "doubt", r.Doubt.String(), "named", strconv.FormatBool(r.Named), "reused", strconv.FormatBool(r.Reused))
	p.Log.Info("rejected", zap.String("request", j.req.ID), zap.String("target", t.ID), zap.Int("status", r.Status),
		zap.Stringer("doubt", r.Doubt), zap.Bool("named", r.Named), zap.Bool("reused", r.Reused), zap.Bool("repeatable", j.route.Repeatable()),
		zap.Int("sends", j.sends), zap.Int("runs", j.runs), zap.Duration("waited", now.Sub(j.sentAt)),
		zap.String("adapter", j.req.Adapter), zap.Duration("since", now.Sub(j.start)), zap.String("note", j.note))
	if !j.isMiss(r) {
		j.rejections++
	}
	j.recordFailure(t.ID, refuse.NewRefusal(j.verdict(), refuse.Overloaded, "%s rejected the request", t.ID).WithRetry(defaultRetry))
}

// skipRejection reads the body of a rejection, so that its connection can be kept, but the request does not wait for one that does not end.
func (p *Proxy) skipRejection(t target.Target, r resp.Resp) {
	timer := time.AfterFunc(rejectionTimeout, r.Cut)
	defer timer.Stop()
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxRejectionBytes)); err != nil {
		p.Log.Debug("reading a rejection failed", zap.String("target", t.ID), zap.Error(err))
	}
}

// relayWhole passes on an answer after reading all of it, so that one that breaks off can be replaced. sendCtx ends with ctx or when this host gives the
// send up.
func (p *Proxy) relayWhole(ctx, sendCtx context.Context, j *job, t target.Target, r resp.Resp) (done bool) {
	text, release, err := p.readAnswer(r.Body)
	defer release()
	if err == nil && r.Unframed && p.Guard.Crashed(t.Addr) {
		err = io.ErrUnexpectedEOF // the connection may have ended with the upstream and not behind the answer
	}
	if err != nil {
		p.countSend(t, "cut")
		p.Log.Info("answer cut", zap.String("request", j.req.ID), zap.String("target", t.ID), zap.Int64("bytes", text.size), zap.Error(err))
		j.recordFailure(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "the answer of %s broke off", t.ID))
		j.upstreamFailed = true
		now := time.Now()
		switch {
		case errors.Is(err, errTooLarge), errors.Is(err, errNoRoom):
		case sendCtx.Err() != nil, j.timedOut(now):
			p.Guard.RecordGivenUp(j.run, j.suspect(), t, j.deadline())
		default:
			p.Guard.RecordBreak(j.suspect(), t, j.sentAt, false)
		}
		if ctx.Err() == nil && j.mayRunAgain() && p.Guard.MayRetry(j.suspect(), now) {
			return false
		}
		p.refuse(j.w, j, j.lastRefusal)
		return true
	}
	copyHeaders(j.w.Header(), r.Header)
	j.w.Header().Set("Content-Length", strconv.FormatInt(text.size, 10))
	j.w.WriteHeader(r.Status)
	j.headerSent = true
	j.firstByteAt = time.Now()
	if err := text.write(j.w); err != nil {
		p.Log.Debug("writing the answer failed", zap.String("request", j.req.ID), zap.Error(err))
	}
	p.countSend(t, strconv.Itoa(r.Status/100)+"xx")
	p.finish(j, "ok", verd.Ran, t.ID, r.Status)
	p.lookBehind(t, r)
	j.upstreamFailed = r.Status >= http.StatusInternalServerError
	return true
}

// lookBehind has the upstream looked at if its connection ended with its whole answer, or goes by way of another host: no idle connection tells then whether it has ended
// behind that.
func (p *Proxy) lookBehind(t target.Target, r resp.Resp) {
	if r.Unframed || r.Blind || strings.EqualFold(r.Header.Get("Connection"), "close") {
		p.Guard.RecordUnseen(t.Addr)
	}
}

// hopHeaders are the hop-by-hop headers.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "Content-Length": true, "Te": true, "Trailer": true,
	"Upgrade": true, "Proxy-Connection": true,
}

// copyHeaders copies an answer's headers, except the hop-by-hop ones.
func copyHeaders(dst, src http.Header) {
	for name, values := range src {
		if !hopHeaders[name] {
			dst[name] = values
		}
	}
}
