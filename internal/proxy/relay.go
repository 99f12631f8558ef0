package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/events"
	"damaskreach/internal/mover"
	"damaskreach/internal/resp"
	"damaskreach/internal/target"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// maxIdleBytes is how many bytes of a stream may come without an event that the caller lacks. Events hold a few tokens; an engine in trouble may
// send bytes without end, which would fill the memory of this host.
const maxIdleBytes = 64 << 10

// relay passes a stream on event by event. Only whole events go to the caller: if an engine stops in the middle of one, another
// engine continues after the last whole one.
func (p *Proxy) relay(ctx context.Context, j *job, t target.Target, r resp.Resp) (done bool) {
	if !j.headerSent {
		if !j.detachFromStop() {
			// The request's context may not be canceled yet; without the cut, closing would wait for the next event.
			r.Cut()
			p.countSend(t, "left")
			p.refuse(j.w, j, hostStopping(j))
			return true
		}
		copyHeaders(j.w.Header(), r.Header)
		j.w.WriteHeader(r.Status)
		j.headerSent = true
	}
	m := p.watchSilence(ctx, j, t, r)
	body := &pausedBody{Reader: r.Body}
	err := p.copyEvents(j, t, body, m)
	if err == nil && p.endedEarly(j, t, r) {
		err = io.ErrUnexpectedEOF
	}
	silent := m.Silent()
	j.nextPlacement = m.End()
	end := j.streamEnd(ctx, err, silent, body.excusesBreak())
	if !j.sound && (end == endCallerLeft || end == endTimeout || end == endStalled) {
		p.Guard.RecordGivenUp(j.run, j.suspect(), t, j.deadline())
	}
	switch end {
	case endComplete:
		p.countSend(t, "ok")
		p.finish(j, "ok", verd.Ran, t.ID, r.Status)
		p.lookBehind(t, r)
		return true
	case endCallerLeft:
		p.countSend(t, "left")
		p.finish(j, refuse.Canceled, verd.MayHaveRun, t.ID, r.Status)
		panic(http.ErrAbortHandler)
	case endTimeout:
		p.countSend(t, "timeout")
		p.refuse(j.w, j, timeoutRefusal(t))
		return true
	default:
		j.upstreamFailed = end != endCallerSlow
		return p.handleCut(j, t, end, err)
	}
}

// endedEarly reports whether a stream whose end nothing marks but that of its connection is not whole: its engine has crashed, or there was no
// event at all. The connection of an engine that crashes between two events ends as that of one that has finished.
func (p *Proxy) endedEarly(j *job, t target.Target, r resp.Resp) bool {
	if !r.Unframed {
		return false
	}
	return !j.begun && j.passed.Last() == "" || p.Guard.Crashed(t.Addr)
}

// handleCut handles a stream that its upstream broke off or stalled. It returns false if the stream continues at another upstream.
func (p *Proxy) handleCut(j *job, t target.Target, end streamEnd, err error) (done bool) {
	now := time.Now()
	p.countSend(t, "cut")
	p.Log.Info("stream cut", zap.String("request", j.req.ID), zap.String("target", t.ID), zap.String("build", t.Build),
		zap.String("last", j.passed.Last()), zap.Strings("parts", j.req.Parts), zap.Duration("since", now.Sub(j.start)),
		zap.Bool("silent", end == endStalled || end == endMoved), zap.Bool("held", end == endCallerSlow), zap.Error(err))
	if end != endCallerSlow {
		p.Pick.BackOff(t.ID, now)
	}
	if end == endStalled {
		p.refuse(j.w, j, timeoutRefusal(t))
		return true
	}
	if end != endCallerSlow {
		p.Guard.RecordBreak(j.suspect(), t, j.sentAt, end == endMoved)
	}
	j.recordFailure(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "the stream of %s broke off", t.ID))
	if end == endMoved {
		j.movedFrom = &t
		return false
	}
	if j.allowResend() && p.Guard.MayRetry(j.suspect(), now) {
		return false
	}
	p.refuse(j.w, j, j.lastRefusal)
	return true
}

// timeoutRefusal returns the refusal of a request whose time ran out in the middle of an upstream's stream.
func timeoutRefusal(t target.Target) *refuse.Refusal {
	return refuse.NewRefusal(verd.MayHaveRun, refuse.Deadline, "the stream of %s lasted longer than its caller waits", t.ID)
}

// copyEvents passes events to the caller until the stream ends; it returns nil if the stream is complete.
func (p *Proxy) copyEvents(j *job, t target.Target, body io.Reader, m *mover.Mover[placement]) error {
	control := http.NewResponseController(j.w)
	in := bufio.NewReader(body)
	var event bytes.Buffer
	left, unflushed := maxIdleBytes, false // unflushed says that events are written that the caller does not have yet
	m.StartWaiting()
	for {
		switch err := events.Read(in, &event, left); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		id := events.ID(event.Bytes())
		further := j.passed.GoesOnWith(id)
		if further {
			m.EventReceived()
			p.recordEvent(j, t)
		}
		if err := j.writeEvent(event.Bytes(), id); err != nil {
			return err
		}
		left, unflushed = left-event.Len(), unflushed || further
		event.Reset()
		if in.Buffered() == 0 {
			if unflushed {
				p.recordEvents(j, t.ID)
			}
			unflushed = false
			if err := control.Flush(); err != nil {
				return &callerError{err}
			}
		}
		if further {
			left = maxIdleBytes
			m.StartWaiting()
		}
	}
}

// recordEvent records that an event of the stream has come.
func (p *Proxy) recordEvent(j *job, t target.Target) {
	p.releaseTurn(&j.turn, true)
	if j.firstByteAt.IsZero() {
		p.recordFirstEvent(j, t)
	}
	p.recordSound(j, time.Now())
}

// recordFirstEvent records the time of a stream's first event, which tells how long the prompt took to read.
func (p *Proxy) recordFirstEvent(j *job, t target.Target) {
	j.firstByteAt = time.Now()
	p.recordOrigin(j, t)
	if j.sends == 1 && j.req.Prompt > 0 {
		p.Speeds.AddPrompt(t.ID, j.req.Prompt, j.firstByteAt.Sub(j.sentAt))
	}
}

// recordEvents records that events go to the caller, and the pause before them.
func (p *Proxy) recordEvents(j *job, id string) {
	now := time.Now()
	if !j.lastEventAt.IsZero() {
		j.longestPause = max(j.longestPause, now.Sub(j.lastEventAt))
		p.Speeds.AddGap(id, now.Sub(j.lastEventAt), now)
	}
	j.lastEventAt = now
}

// writeEvent writes one whole event with an id, empty for none, to the caller, unless the caller has it already.
func (j *job) writeEvent(event []byte, id string) error {
	if j.passed.Has(id) {
		return nil
	}
	passed, err := j.passed.With(id)
	if err != nil {
		return err
	}
	if _, err := j.w.Write(event); err != nil {
		return &callerError{err}
	}
	j.passed = passed
	return nil
}
