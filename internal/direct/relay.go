package direct

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/resp"
	"damaskreach/internal/target"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// relay passes a stream on event by event. Only whole events go to the caller: an engine may stop in the middle of one,
// and another engine then goes on behind the last whole one.
func (x *Direct) relay(ctx context.Context, j *job, t target.Target, r resp.Resp) (done bool) {
	if !j.headed {
		if !j.stays() {
			// The end of the request's context may not have come yet; without the cut, closing would wait for the next event.
			r.Cut()
			x.outcome(t, "left")
			x.refuse(j.w, j, hostEnds(j))
			return true
		}
		head(j.w.Header(), r.Header)
		j.w.WriteHeader(r.Status)
		j.headed = true
	}
	m := x.watchSilence(ctx, j, t, r)
	body := &held{Reader: r.Body}
	err := x.events(j, t, body, m)
	silent := m.silent()
	j.next = m.end()
	switch end := j.streamEnd(ctx, err, silent, body.excuses()); end {
	case endWhole:
		x.outcome(t, "ok")
		x.finish(j, "ok", verd.Ran, t.ID, r.Status)
		return true
	case endLeft:
		x.outcome(t, "left")
		x.finish(j, refuse.Canceled, verd.MayHaveRun, t.ID, r.Status)
		panic(http.ErrAbortHandler)
	case endTimeout:
		x.outcome(t, "timeout")
		x.refuse(j.w, j, outlasted(t))
		return true
	default:
		j.failed = end != endHeld
		return x.cut(j, t, end, err)
	}
}

// cut takes a stream that its upstream failed; it reports true where the stream does not go on at another one.
func (x *Direct) cut(j *job, t target.Target, end streamEnd, err error) (done bool) {
	now := time.Now()
	x.outcome(t, "cut")
	x.Log.Info("stream cut", zap.String("request", j.d.ID), zap.String("target", t.ID), zap.String("last", j.last),
		zap.Duration("since", now.Sub(j.begun)), zap.Bool("silent", end == endStalled || end == endMoved),
		zap.Bool("held", end == endHeld), zap.Error(err))
	if end != endHeld {
		x.Pick.Rest(t.ID, now)
	}
	if end == endStalled {
		x.refuse(j.w, j, outlasted(t))
		return true
	}
	if end != endHeld {
		x.broke(j, t, end == endMoved)
	}
	j.fail(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "the stream of %s broke off", t.ID))
	if end == endMoved {
		j.moved = &t
		return false
	}
	if j.goesOn() && !x.Blame.Barred(j.print, now) {
		return false
	}
	x.refuse(j.w, j, j.fault)
	return true
}

// outlasted returns the refusal of a request whose time ran out in the middle of an upstream's stream.
func outlasted(t target.Target) *refuse.Refusal {
	return refuse.NewRefusal(verd.MayHaveRun, refuse.Deadline, "the stream of %s lasted longer than its caller waits", t.ID)
}

// events copies events until the stream ends as complete.
func (x *Direct) events(j *job, t target.Target, body io.Reader, m *mover) error {
	control := http.NewResponseController(j.w)
	in := bufio.NewReader(body)
	var event bytes.Buffer
	for {
		m.waits()
		switch err := readEvent(in, &event); {
		case errors.Is(err, io.EOF) && event.Len() == 0:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
		m.heard()
		x.release(&j.turn, true)
		if j.first.IsZero() {
			x.begun(j, t.ID)
		}
		if err := j.pass(event.Bytes()); err != nil {
			return err
		}
		event.Reset()
		if in.Buffered() > 0 {
			continue
		}
		x.passed(j, t.ID)
		if err := control.Flush(); err != nil {
			return &callerError{err}
		}
	}
}

// readEvent reads up to the end of one event. An event of which only a part was there stays in the buffer with the error.
func readEvent(in *bufio.Reader, event *bytes.Buffer) error {
	for !bytes.HasSuffix(event.Bytes(), []byte("\n\n")) {
		line, err := in.ReadSlice('\n')
		event.Write(line)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
	return nil
}

// begun notes the first event of a stream, which tells how long its prompt took to read.
func (x *Direct) begun(j *job, id string) {
	j.first = time.Now()
	if j.sends == 1 && j.d.Prompt > 0 {
		x.Speeds.First(id, j.d.Prompt, j.first.Sub(j.sent))
	}
}

// passed notes that events go to the caller.
func (x *Direct) passed(j *job, id string) {
	now := time.Now()
	if !j.heard.IsZero() {
		j.pause = max(j.pause, now.Sub(j.heard))
		x.Speeds.Event(id, now.Sub(j.heard), now)
	}
	j.heard = now
}

// pass gives one whole event to the caller, unless it has it already.
func (j *job) pass(event []byte) error {
	id := eventID(event)
	if id != "" && j.last != "" {
		number, err := strconv.Atoi(id)
		last, lastErr := strconv.Atoi(j.last)
		if err == nil && lastErr == nil && number <= last {
			return nil
		}
		if err == nil && lastErr == nil && number > last+1 {
			return errors.New("event " + id + " follows event " + j.last)
		}
	}
	if _, err := j.w.Write(event); err != nil {
		return &callerError{err}
	}
	if id != "" {
		j.last = id
	}
	return nil
}

// eventID returns the id that an event carries.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
