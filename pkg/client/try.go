package client

import (
	"context"
	"errors"
	"net/http"
	"time"

	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// try is the state of a request over its tries.
type try struct {
	client  *Client
	model   string
	repeats bool         // may run again
	verdict verd.Verdict // MayHaveRun once any try may have run
	count   int
	left    []string // nodes not tried yet since the last pause
}

func (t *try) once(ctx context.Context, req *http.Request, content []byte) (*http.Response, *refuse.Refusal) {
	if len(t.left) == 0 {
		t.left = t.client.entries(ctx, t.model)
	}
	t.count++
	addr := t.left[0]
	t.left = t.left[1:]
	res, refusal := t.client.send(ctx, addr, req, content)
	if refusal != nil && refusal.Verdict != verd.NotRun {
		t.verdict = verd.MayHaveRun
	}
	return res, refusal
}

// again decides whether a refused request is tried once more, and waits until then.
func (t *try) again(ctx context.Context, refusal *refuse.Refusal) bool {
	switch {
	case ctx.Err() != nil || t.count >= t.client.Tries:
		return false
	case refusal.Verdict == verd.Ran:
		return false
	case refusal.Verdict == verd.MayHaveRun && !t.repeats:
		return false
	case refusal.Retry == 0 && !unanswered(refusal):
		return false // a repeat would be told the same
	}
	if moves(refusal) && len(t.left) > 0 {
		return true
	}
	return t.pause(ctx, max(refusal.Retry, t.client.Wait))
}

// unanswered reports whether a refusal is the client's own, of a node that did not answer. Nodes name a time to come back
// with these codes.
func unanswered(refusal *refuse.Refusal) bool {
	return refusal.Retry == 0 && (refusal.Code == refuse.NoUpstream || refusal.Code == refuse.Cut)
}

// moves reports whether another node may do better at once.
func moves(refusal *refuse.Refusal) bool {
	return unanswered(refusal) || refusal.Code == refuse.Leaving
}

// pause waits and has the nodes be asked for anew; it reports false where the request's time would be over by then.
func (t *try) pause(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d {
		return false
	}
	t.left = nil
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// final returns what the caller is told: the verdict covers every try, not only the last.
func (t *try) final(refusal *refuse.Refusal) *refuse.Refusal {
	if t.verdict != verd.NotRun && refusal.Verdict == verd.NotRun {
		return refusal.WithVerdict(t.verdict)
	}
	return refusal
}

// ended returns the refusal of a call whose context has ended, or nil.
func ended(ctx context.Context, v verd.Verdict) *refuse.Refusal {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refuse.NewRefusal(v, refuse.Deadline, "the caller's deadline passed")
	case ctx.Err() != nil:
		return refuse.NewRefusal(v, refuse.Canceled, "the caller gave up")
	}
	return nil
}
