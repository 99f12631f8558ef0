// Package home chooses the runner of each request of an adapter version.
//
// Each adapter version has one home node per site, by rendezvous hash, so that concurrent requests for it are decided
// in one place and do not load it twice. Two homes at once cost extra loads, never correctness: the owner of the
// runner decides what starts.
package home

import (
	"context"
	"slices"
	"sync"
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
	"damaskreach/internal/tune"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	methodPlace  = "place"
	methodSettle = "settle"
	askTimeout   = time.Second
	sweepEvery   = time.Minute // of runners that have left the table
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
	// Ctx ends with the node and all work left over from requests.
	Ctx context.Context
	// Tune returns the options in force.
	Tune func() tune.Tune
	// Known reports whether the table has a runner.
	Known func(runner string) bool
	// Alone reports whether a call is a suspect; see package suspct.
	Alone func(c call.Call) bool
	// Suspect returns why a call may not be tried again, or nil where it may.
	Suspect func(c call.Call) *refuse.Refusal
	// Note records a decision for operators.
	Note func(why reason.Reason, request string)

	// Runners returns the names of a group's runners that the operators' table has and does not mark as leaving.
	Runners func(group string) []string
	// Fetch asks other nodes for the digests of their runners, has them learnt and returns how many nodes it asked.
	Fetch func(ctx context.Context) int

	begun   time.Time
	swept   time.Time // control state
	mu      sync.Mutex
	chose   map[string]string // peer address of the node that decided, by attempt; empty for this one
	looking chan struct{}     // closed at the end of the look under way; nil while none is
	looked  time.Time         // when the last look ended
}

type placeAsk struct {
	Call  call.Call `msgpack:"call"`
	Avoid []string  `msgpack:"avoid"`
}

type placeSaid struct {
	Digest  digest.Digest   `msgpack:"digest"`
	Why     reason.Reason   `msgpack:"why"`
	Refusal *refuse.Refusal `msgpack:"refusal"`

	lacking []string // runners of the group of which this node has no news, where it refuses
}

type settleAsk struct {
	Call    call.Call       `msgpack:"call"`
	Runner  string          `msgpack:"runner"`
	Outcome *refuse.Refusal `msgpack:"outcome"`
}

type settleSaid struct{}

// Register answers other nodes' questions.
func (h *Home) Register() {
	h.chose = map[string]string{}
	h.begun = time.Now()
	peer.Answer(h.Mesh, methodPlace, func(ctx context.Context, _ string, q placeAsk) (placeSaid, error) {
		return h.decide(ctx, q)
	})
	peer.Answer(h.Mesh, methodSettle, func(ctx context.Context, _ string, q settleAsk) (settleSaid, error) {
		return settleSaid{}, h.settle(ctx, q)
	})
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
	if len(ids) > 1 && !h.Lease.Valid() {
		// Others may have ended this node's session and send it no digests any more: its own choices would be stale.
		ids = slices.DeleteFunc(ids, func(id string) bool { return id == me.ID() })
	}
	id := spread.OwnerOf(ids, key)
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
		refusal := refuse.NewRefusal(verd.NotRun, refuse.Held, "the same request is in progress on a runner where this one failed; its outcome decides what follows")
		return placeSaid{Refusal: refusal.WithRetry(twinRetry)}, nil
	}
	q.Call = q.Call.WithSuspect(h.Alone(q.Call))
	said, err := h.choose(ctx, q)
	if err == nil && len(said.lacking) > 0 && h.Look(ctx) {
		said, err = h.choose(ctx, q)
	}
	if err != nil {
		return said, err
	}
	if said.blind() && len(said.lacking) > 0 {
		said = said.unheard(q.Call)
	}
	h.Note(said.Why, q.Call.ID)
	return said, nil
}

func (h *Home) choose(ctx context.Context, q placeAsk) (placeSaid, error) {
	return loop.Get(ctx, h.Loop, func() placeSaid {
		h.Place.SetTune(h.Tune()) // operators change them while nodes serve
		d, why, refusal := h.Place.Choose(time.Now(), q.Call, q.Avoid)
		said := placeSaid{Digest: d.Brief(h.Place.Demand(time.Now(), q.Call)), Why: why, Refusal: refusal}
		if said.short() {
			said.lacking = h.Place.Unavailable(h.Runners(q.Call.Group))
		}
		return said
	})
}

// Learn takes digests of runners, from this node's owner or from other nodes. It must be called on the control goroutine.
func (h *Home) Learn(digests []digest.Digest) {
	now := time.Now()
	for _, d := range digests {
		h.Place.UpdateDigest(now, d)
	}
	if now.Sub(h.swept) >= sweepEvery {
		h.swept = now
		h.Place.Prune(h.Known)
	}
}
