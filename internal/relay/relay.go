// Package relay carries a call from its entry node to the owner of its runner and the answer back.
package relay

import (
	"context"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/call"
	"damaskreach/internal/digest"
	"damaskreach/internal/peer"
	"damaskreach/internal/strm"
)

const methodRun = "run"

// Relay is a node's way to run calls on its own and other nodes' runners.
// The fields are set before Register and not changed afterwards.
type Relay struct {
	Mesh *peer.Mesh
	// Self returns this node's session id.
	Self func() string
	// Local runs a call on a runner this node owns.
	Local func(ctx context.Context, runner string, fence int64, c call.Call, head func(status int, kind string) error, emit func(token int, piece []byte) error) error
}

type runAsk struct {
	Runner string    `msgpack:"runner"`
	Fence  int64     `msgpack:"fence"`
	Call   call.Call `msgpack:"call"`
}

// part is one message of an answer: first its head, then its pieces, then the mark of its end. Only the mark makes the
// answer whole. The end of the stream alone does not: where a node's connection is closed under an answer, the stream
// ends as well, and half of the answer would pass for all of it.
type part struct {
	Whole  bool   `msgpack:"whole,omitempty"`
	Status int    `msgpack:"status,omitempty"`
	Kind   string `msgpack:"kind,omitempty"`
	Token  int    `msgpack:"token,omitempty"`
	Piece  []byte `msgpack:"piece,omitempty"`
}

// Register serves other nodes' calls.
func (r *Relay) Register() {
	r.Mesh.Handle(methodRun, r.serve)
}

func (r *Relay) serve(ctx context.Context, s *strm.Stream) error {
	var q runAsk
	if err := s.Recv(ctx, &q); err != nil {
		return err
	}
	head := func(status int, kind string) error {
		return s.Send(ctx, part{Status: status, Kind: kind})
	}
	emit := func(token int, piece []byte) error {
		return s.Send(ctx, part{Token: token, Piece: piece})
	}
	if err := r.Local(ctx, q.Runner, q.Fence, q.Call, head, emit); err != nil {
		return err
	}
	return s.Send(ctx, part{Whole: true})
}

// Run sends a call to the owner named in d and passes the answer on. It returns nil only for a whole answer.
// Parts arrive on the stream of this one attempt, so a late part of an abandoned attempt reaches nobody.
func (r *Relay) Run(ctx context.Context, d digest.Digest, c call.Call, head func(status int, kind string) error, emit func(token int, piece []byte) error) error {
	if d.Owner == r.Self() {
		return r.Local(ctx, d.Runner, d.Fence, c, head, emit)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := r.Mesh.Open(ctx, d.Addr, methodRun, runAsk{Runner: d.Runner, Fence: d.Fence, Call: c})
	if err != nil {
		return err
	}
	return receive(ctx, s, head, emit)
}

func receive(ctx context.Context, s *strm.Stream, head func(status int, kind string) error, emit func(token int, piece []byte) error) error {
	for {
		var p part
		err := s.Recv(ctx, &p)
		if err != nil {
			return merry.Prepend(err, "receiving an answer")
		}
		if p.Whole {
			return nil
		}
		if err := p.pass(head, emit); err != nil {
			return err
		}
	}
}

func (p part) pass(head func(status int, kind string) error, emit func(token int, piece []byte) error) error {
	if p.Status != 0 {
		return head(p.Status, p.Kind)
	}
	return emit(p.Token, p.Piece)
}
