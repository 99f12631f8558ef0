package home

import (
	"context"
	"strings"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/reason"
	"damaskreach/pkg/refuse"
)

const (
	lookTimeout = 300 * time.Millisecond // with twinWait below askTimeout, or the asker would decide itself
	lookEvery   = 500 * time.Millisecond // between two looks that asked somebody
)

// Look asks the other nodes for the state of the runners they own and returns once they have answered or a short time has
// passed. Owners send it by themselves, but only to nodes that they have listed: one that has just started, or that they
// cannot see in the table service, hears of no runner and would refuse calls that the runners would take.
// One look at a time is under way, and it returns false where the last one was a moment ago.
func (h *Home) Look(ctx context.Context) bool {
	done := h.beginLook()
	if done == nil {
		return false
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return true
}

func (h *Home) beginLook() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.looking == nil && time.Since(h.looked) >= lookEvery {
		h.looking = make(chan struct{})
		go h.look()
	}
	return h.looking
}

func (h *Home) look() {
	ctx, cancel := context.WithTimeout(h.Ctx, lookTimeout)
	defer cancel()
	asked := h.Fetch(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if asked > 0 {
		h.looked = time.Now()
	}
	close(h.looking)
	h.looking = nil
}

// short reports whether the home found no runner with room among those it knows.
func (s placeSaid) short() bool {
	return s.Refusal != nil && (s.Refusal.Code == refuse.NoUpstream || s.Refusal.Code == refuse.Overloaded)
}

// unheard says in a refusal for want of runners that it rests on missing news rather than on what the runners take.
func (s placeSaid) unheard(c call.Call) placeSaid {
	s.Why = reason.Reason{
		Kind:  refuse.NoUpstream,
		Text:  "no runner of group " + c.Group + " is known to take work; this node has no news of " + strings.Join(s.lacking, ", "),
		Model: s.Why.Model,
	}
	s.Refusal = refuse.NewRefusal(s.Refusal.Verdict, refuse.NoUpstream, "%s", s.Why).WithRetry(s.Refusal.Retry)
	return s
}
