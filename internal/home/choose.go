package home

import (
	"context"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/digest"
	"damaskreach/internal/loop"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// A node that has just started refuses nothing for want of news of runners until it has had time to hear of them.
const (
	warmUp   = 3 * time.Second // also the longest that a call waits
	warmLook = 100 * time.Millisecond
)

// Choose asks the home of a call's adapter version for a runner other than those to avoid.
// A home that cannot be reached is replaced by this node, whose view may be a little older.
func (h *Home) Choose(ctx context.Context, c call.Call, avoid []string) (digest.Digest, error) {
	q := placeAsk{Call: c.WithoutBody(), Avoid: avoid}
	if refusal := h.Suspect(q.Call); refusal != nil {
		return digest.Digest{}, refusal
	}
	said, err := h.ask(ctx, q)
	if err != nil || said.blind() {
		// A home that has just started has not heard of any runner yet, and one that stops hears of none any more.
		h.chosen(c, "")
		said, err = h.decide(ctx, q)
	}
	for begin := time.Now(); err == nil && said.blind() && len(said.lacking) > 0 && h.warming(begin); {
		h.sleep(warmLook)
		said, err = h.decide(ctx, q)
	}
	if err != nil {
		h.forget(c)
		h.settleHere(lapsed(c)) // the decision may still be taken after this call has given up
		return digest.Digest{}, err
	}
	if said.Refusal != nil {
		h.forget(c)
		return digest.Digest{}, said.Refusal
	}
	return said.Digest, nil
}

// warming reports whether a call that came at begin is to wait until this node has heard of runners: it has just started,
// or it has not been able to read yet which other nodes there are.
func (h *Home) warming(begin time.Time) bool {
	if time.Since(begin) >= warmUp || h.Ctx.Err() != nil {
		return false
	}
	return time.Since(h.begun) < warmUp || !h.Met(h.Ctx)
}

// Met reports whether this node has read which other nodes there are.
func (h *Home) Met(ctx context.Context) bool {
	met, err := loop.Get(ctx, h.Loop, h.Members.Met)
	return err == nil && met
}

// blind reports whether the home knew of no runner at all.
func (s placeSaid) blind() bool {
	return s.Refusal != nil && s.Refusal.Code == refuse.NoUpstream
}

func (h *Home) ask(ctx context.Context, q placeAsk) (placeSaid, error) {
	at, local, err := h.Of(ctx, Key(q.Call))
	if err != nil {
		return placeSaid{}, err
	}
	if local {
		h.chosen(q.Call, "")
		return h.decide(ctx, q)
	}
	h.chosen(q.Call, at.Peer)
	ctxAsk, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var said placeSaid
	err = h.Mesh.Ask(ctxAsk, at.Peer, methodPlace, q, &said)
	if err != nil && verd.Of(err) != verd.NotRun {
		// The home may have chosen a runner all the same and would count the call there for good.
		go h.sendLater(at.Peer, lapsed(q.Call))
	}
	return said, err
}

// lapsed settles an attempt whose choice did not arrive.
func lapsed(c call.Call) settleAsk {
	outcome := refuse.NewRefusal(verd.NotRun, refuse.Canceled, "the choice of a runner did not arrive")
	return settleAsk{Call: c.WithoutBody(), Runner: anyRunner, Outcome: outcome}
}

// chosen notes which node decides about an attempt. Its outcome must go to the same node, also when another one has become
// the home meanwhile: the first would count the attempt on its runner for good.
func (h *Home) chosen(c call.Call, peer string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.chose[c.Attempt] = peer
}

// forget returns the node that decided about an attempt, and drops it.
func (h *Home) forget(c call.Call) (peer string, known bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	peer, known = h.chose[c.Attempt]
	delete(h.chose, c.Attempt)
	return peer, known
}
