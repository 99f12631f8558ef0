package home

import (
	"context"
	"time"

	"damaskreach/internal/call"
	"damaskreach/pkg/refuse"
)

const (
	anyRunner   = "" // settles an attempt whatever runner was chosen
	settleTries = 5
	settlePause = 200 * time.Millisecond
)

// Settle tells the node that chose the runner how an attempt ended; a nil outcome is a whole answer. It does not wait: a
// home that hangs must hold up neither the next try nor the caller's answer.
func (h *Home) Settle(_ context.Context, c call.Call, runner string, outcome *refuse.Refusal) {
	q := settleAsk{Call: c.WithoutBody(), Runner: runner, Outcome: outcome}
	peer, known := h.forget(c)
	switch {
	case !known:
	case peer == "":
		h.settleHere(q)
	default:
		go h.send(peer, q)
	}
}

// settleHere settles an attempt that this node decided. It fails only while the node stops.
func (h *Home) settleHere(q settleAsk) {
	_ = h.Loop.Post(func() { h.Place.Settle(time.Now(), q.Call, q.Runner, q.Outcome) })
}

func (h *Home) tell(peer string, q settleAsk) error {
	ctx, cancel := context.WithTimeout(h.Ctx, askTimeout)
	defer cancel()
	return h.Mesh.Ask(ctx, peer, methodSettle, q, &settleSaid{})
}

// send tells an outcome to a node that may be cut off for a while. A node that is gone for longer has lost its counts.
func (h *Home) send(peer string, q settleAsk) {
	pause := settlePause
	for range settleTries {
		if h.tell(peer, q) == nil || h.Ctx.Err() != nil {
			return
		}
		h.sleep(pause)
		pause *= 2
	}
}

// sendLater leaves a question that is under way time to arrive first.
func (h *Home) sendLater(peer string, q settleAsk) {
	h.sleep(askTimeout)
	h.send(peer, q)
}

func (h *Home) sleep(d time.Duration) {
	select {
	case <-h.Ctx.Done():
	case <-time.After(d):
	}
}

func (h *Home) settle(ctx context.Context, q settleAsk) error {
	return h.Loop.Do(ctx, func() {
		h.Place.Settle(time.Now(), q.Call, q.Runner, q.Outcome)
	})
}
