// Package home chooses the runner of each request of an adapter version.
//
// Each adapter version has one home node per site, by rendezvous hash, so that concurrent requests for it are decided
// in one place and do not load it twice. Two homes at once cost extra loads, never correctness: the owner of the
// runner decides what starts.
package home

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/call"
	"damaskreach/internal/digest"
	"damaskreach/internal/lease"
	"damaskreach/internal/loop"
	"damaskreach/internal/member"
	"damaskreach/internal/peer"
	"damaskreach/internal/place"
	"damaskreach/internal/reason"
	"damaskreach/internal/sess"
	"damaskreach/internal/spread"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	methodPlace  = "place"
	methodSettle = "settle"
	askTimeout   = time.Second
	twinWait     = 500 * time.Millisecond // below askTimeout, or the asker would decide itself
	twinRetry    = time.Second
	twinLook     = 20 * time.Millisecond
)

// Home is a node's part in placement: its own decisions and the way to other nodes'.
// The fields are set before Register and not changed afterwards.
type Home struct {
	Loop    *loop.Loop
	Lease   *lease.Lease
	Members *member.Member
	Place   *place.Place
	Mesh    *peer.Mesh
	Log     *zap.Logger
	// Alone reports whether a call is a suspect; see package suspct.
	Alone func(c call.Call) bool
	// Suspect returns why a call may not be tried again, or nil where it may.
	Suspect func(c call.Call) *refuse.Refusal
	// Note records a decision for operators.
	Note func(why reason.Reason, request string)
}

type placeAsk struct {
	Call  call.Call `msgpack:"call"`
	Avoid []string  `msgpack:"avoid"`
}

type placeSaid struct {
	Digest  digest.Digest   `msgpack:"digest"`
	Why     reason.Reason   `msgpack:"why"`
	Refusal *refuse.Refusal `msgpack:"refusal"`
}

type settleAsk struct {
	Call    call.Call       `msgpack:"call"`
	Runner  string          `msgpack:"runner"`
	Outcome *refuse.Refusal `msgpack:"outcome"`
}

type settleSaid struct{}

// Register answers other nodes' questions.
func (h *Home) Register() {
	peer.Answer(h.Mesh, methodPlace, func(ctx context.Context, _ string, q placeAsk) (placeSaid, error) {
		return h.decide(ctx, q)
	})
	peer.Answer(h.Mesh, methodSettle, func(ctx context.Context, _ string, q settleAsk) (settleSaid, error) {
		return settleSaid{}, h.settle(ctx, q)
	})
}

// Choose asks the home of a call's adapter version for a runner other than those to avoid.
// A home that cannot be reached is replaced by this node, whose view may be a little older.
func (h *Home) Choose(ctx context.Context, c call.Call, avoid []string) (digest.Digest, error) {
	q := placeAsk{Call: c.WithoutBody(), Avoid: avoid}
	if refusal := h.Suspect(q.Call); refusal != nil {
		return digest.Digest{}, refusal
	}
	said, err := h.ask(ctx, q)
	if err != nil {
		said, err = h.decide(ctx, q)
	}
	if err != nil {
		return digest.Digest{}, err
	}
	if said.Refusal != nil {
		return digest.Digest{}, said.Refusal
	}
	return said.Digest, nil
}

// Settle tells the home how an attempt ended; a nil outcome is a whole answer.
func (h *Home) Settle(ctx context.Context, c call.Call, runner string, outcome *refuse.Refusal) {
	q := settleAsk{Call: c.WithoutBody(), Runner: runner, Outcome: outcome}
	at, local, err := h.Of(ctx, Key(q.Call))
	if err != nil {
		return
	}
	if !local {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		err = h.Mesh.Ask(ctx, at.Peer, methodSettle, q, &settleSaid{})
	}
	if local || err != nil {
		_ = h.settle(ctx, q) // only this node's counts suffer
	}
}

func (h *Home) ask(ctx context.Context, q placeAsk) (placeSaid, error) {
	at, local, err := h.Of(ctx, Key(q.Call))
	if err != nil {
		return placeSaid{}, err
	}
	if local {
		return h.decide(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var said placeSaid
	err = h.Mesh.Ask(ctx, at.Peer, methodPlace, q, &said)
	return said, err
}

// Of returns the home of a key and whether it is this node.
func (h *Home) Of(ctx context.Context, key string) (sess.Session, bool, error) {
	type found struct {
		at    sess.Session
		local bool
	}
	f, err := loop.Get(ctx, h.Loop, func() found {
		at, local := h.pick(key)
		return found{at, local}
	})
	return f.at, f.local, err
}

func (h *Home) pick(key string) (sess.Session, bool) {
	me := h.Lease.Session()
	var ids []string
	byID := map[string]sess.Session{}
	for _, s := range h.Members.Serving(time.Now()) {
		if s.Site != me.Site || h.Mesh.Down(s.Peer) && s.ID() != me.ID() {
			continue
		}
		ids = append(ids, s.ID())
		byID[s.ID()] = s
	}
	id := spread.Pick(ids, key)
	if id == "" || id == me.ID() {
		return me, true
	}
	return byID[id], false
}

// Key returns what a call's home is found by.
func Key(c call.Call) string {
	if c.Adapter == "" {
		return c.Group
	}
	return c.Model()
}

func (h *Home) decide(ctx context.Context, q placeAsk) (placeSaid, error) {
	failing := h.awaitTwin(ctx, q)
	if refusal := h.Suspect(q.Call); refusal != nil {
		return placeSaid{Refusal: refusal}, nil
	}
	if failing {
		refusal := refuse.NewRefusal(verd.NotRun, refuse.NoUpstream, "the same request is in progress on a runner where this one failed; its outcome decides what follows")
		return placeSaid{Refusal: refusal.WithRetry(twinRetry)}, nil
	}
	q.Call = q.Call.WithAlone(h.Alone(q.Call))
	said, err := loop.Get(ctx, h.Loop, func() placeSaid {
		d, why, refusal := h.Place.Choose(time.Now(), q.Call, q.Avoid)
		return placeSaid{Digest: d, Why: why, Refusal: refusal}
	})
	if err == nil {
		h.Note(said.Why, q.Call.ID)
	}
	return said, err
}

// awaitTwin waits a little while the same request is in flight on a runner where this one has failed, and reports
// whether it still is; see place.Failing.
func (h *Home) awaitTwin(ctx context.Context, q placeAsk) bool {
	if len(q.Avoid) == 0 {
		return false
	}
	for range twinWait / twinLook {
		failing, err := loop.Get(ctx, h.Loop, func() bool { return h.Place.Failing(q.Call, q.Avoid) })
		if err != nil || !failing {
			return false
		}
		select {
		case <-time.After(twinLook):
		case <-ctx.Done():
			return true
		}
	}
	return true
}

func (h *Home) settle(ctx context.Context, q settleAsk) error {
	return h.Loop.Do(ctx, func() {
		h.Place.Settle(time.Now(), q.Call, q.Runner, q.Outcome)
	})
}

// Learn takes digests of runners, from this node's owner or from other nodes. It must be called on the control goroutine.
func (h *Home) Learn(digests []digest.Digest) {
	now := time.Now()
	for _, d := range digests {
		h.Place.Learn(now, d)
	}
}
