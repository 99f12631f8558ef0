package peer

import (
	"context"
	"errors"
	"io"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/strm"
	"damaskreach/pkg/verd"
)

// anyNode is the expected id of a caller that does not care which node has the address.
const anyNode = ""

// Open opens a stream to the node at addr; the question is its first message. The stream is reset at the other side
// when ctx ends. An error of Open itself is not-run.
func (m *Mesh) Open(ctx context.Context, addr, method string, question any) (*strm.Stream, error) {
	return m.open(ctx, anyNode, addr, method, question, false)
}

// OpenTo is Open for node id: where another node has taken the address it fails and is not-run.
func (m *Mesh) OpenTo(ctx context.Context, id, addr, method string, question any) (*strm.Stream, error) {
	return m.open(ctx, id, addr, method, question, false)
}

// Ask asks the node at addr one question and reads its answer into the pointer answer.
func (m *Mesh) Ask(ctx context.Context, addr, method string, question, answer any) error {
	return m.AskTo(ctx, anyNode, addr, method, question, answer)
}

// AskTo is Ask for node id: where another node has taken the address it fails and is not-run.
func (m *Mesh) AskTo(ctx context.Context, id, addr, method string, question, answer any) error {
	s, err := m.open(ctx, id, addr, method, question, true)
	if err != nil {
		return err
	}
	defer s.Reset(nil)
	err = s.Recv(ctx, answer)
	if errors.Is(err, io.EOF) {
		err = verd.Mark(merry.New("no answer"), verd.MayHaveRun)
	}
	return merry.Prependf(err, "asking %s of node %s at %s", method, s.Peer(), addr)
}

func (m *Mesh) open(ctx context.Context, id, addr, method string, question any, last bool) (*strm.Stream, error) {
	c, err := m.link(addr).get(ctx, id)
	if err != nil {
		return nil, verd.Mark(merry.Prependf(err, "opening %s at %s", method, addr), verd.NotRun)
	}
	return c.Open(ctx, method, question, last)
}
