package entry

import (
	"context"
	"net/http"

	"damaskreach/internal/answer"
	"damaskreach/internal/call"
	"damaskreach/internal/timing"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// serveKeyed answers a call with an idempotency key: the first is dispatched, repeats get its outcome.
func (e *Entry) serveKeyed(ctx context.Context, w http.ResponseWriter, s *sink, c call.Call) {
	end, prior, err := e.Begin(ctx, c)
	if err != nil {
		e.finish(w, newSink(w), c, asRefusal(err))
		return
	}
	if prior != nil {
		e.replay(w, c, *prior)
		return
	}
	s.keep = true
	s.lasting = c.NonIdempotent
	refusal := e.attempts(ctx, c, s)
	defer e.record(ctx, c, s, refusal, end)
	e.finish(w, s, c, refusal)
}

// record ends the claim in the background: the caller's answer must not wait for the table service.
func (e *Entry) record(ctx context.Context, c call.Call, s *sink, refusal *refuse.Refusal, end func(ctx context.Context, a *answer.Answer)) {
	a := outcome(c, s, refusal)
	ctx = context.WithoutCancel(ctx)
	e.active.count.Add(1)
	go func() {
		defer e.active.count.Add(-1)
		end(ctx, a)
	}()
}

// outcome returns what repeats are told, or nil where the key becomes free: a call that did not run may be tried again,
// and so may an idempotent one that was cut.
func outcome(c call.Call, s *sink, refusal *refuse.Refusal) *answer.Answer {
	if refusal == nil {
		a := answer.NewAnswer(s.status, s.kind, s.kept)
		if len(s.kept) > mostKept {
			a = a.WithoutBody()
		}
		return &a
	}
	if refusal.Verdict == verd.NotRun || !c.NonIdempotent {
		return nil
	}
	a := answer.NewRefused(refusal.WithRetry(0)) // what is said of it will not change
	return &a
}

// replay answers a repeat with the first one's outcome.
func (e *Entry) replay(w http.ResponseWriter, c call.Call, a answer.Answer) {
	w.Header().Set(HeaderReplayed, "true")
	switch {
	case a.Refusal != nil:
		e.Observe(c, timing.Timing{}, a.Refusal)
		e.answerRefusal(w, a.Refusal)
	case !a.Kept:
		e.finish(w, newSink(w), c, refuse.NewRefusal(verd.Ran, refuse.Repeat, "the first request with this idempotency key was answered in full; its answer was not kept"))
	default:
		w.Header().Set("Content-Type", a.Kind)
		w.Header().Set(HeaderVerdict, a.Verdict.String())
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body) // the caller may be gone
	}
}
