// Package relay carries a call from its entry node to the owner of its runner, and the answer back.
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

// Relay runs calls on the runners of its own node and of other nodes. Its fields are set before Register.
type Relay struct {
	Mesh *peer.Mesh
	// Self returns this node's session id.
	Self func() string
	// Local runs a call on a runner this node owns. A piece is valid until emit returns.
	Local func(
		ctx context.Context, runner string, fence int64, c call.Call,
		head func(status int, kind string) error, emit func(token int, piece []byte) error,
	) error
}

type runAsk struct {
	Runner string    `msgpack:"runner"`
	Fence  int64     `msgpack:"fence"`
	Call   call.Call `msgpack:"call"`
}

// Register makes this node run the calls that other nodes send for its runners.
func (r *Relay) Register() {
	r.Mesh.Handle(methodRun, r.serve)
}

func (r *Relay) serve(ctx context.Context, s *strm.Stream) error {
	var q runAsk
	if err := s.Recv(ctx, &q); err != nil {
		return err
	}
	var p frame // reused for the whole answer, since Send needs it on the heap
	head := func(status int, kind string) error {
		p = frame{status: status, kind: kind}
		return s.Send(ctx, &p)
	}
	emit := func(token int, piece []byte) error {
		p = frame{token: token, piece: piece}
		return s.Send(ctx, &p)
	}
	if err := r.Local(ctx, q.Runner, q.Fence, q.Call, head, emit); err != nil {
		return err
	}
	p = frame{whole: true}
	return s.Send(ctx, &p)
}

// Run sends a call to the owner named in d and passes the answer on. It returns nil only for a whole answer.
// Each attempt has a stream of its own, so late frames of an abandoned attempt are dropped.
func (r *Relay) Run(
	ctx context.Context, d digest.Digest, c call.Call,
	head func(status int, kind string) error, emit func(token int, piece []byte) error,
) error {
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

func receive(
	ctx context.Context, s *strm.Stream,
	head func(status int, kind string) error, emit func(token int, piece []byte) error,
) error {
	var p frame // each piece overwrites the previous one, which emit has passed on
	for {
		err := s.Recv(ctx, &p)
		if err != nil {
			return merry.Prepend(err, "receiving an answer")
		}
		if p.whole {
			return nil
		}
		if err := p.pass(head, emit); err != nil {
			return err
		}
	}
}
