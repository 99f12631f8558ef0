package peer

import (
	"context"

	"damaskreach/internal/strm"
)

// Answer registers serve for a method that takes one question and gives one answer; see Handle for its errors.
// From is the id of the node that asks.
func Answer[Q, A any](m *Mesh, method string, serve func(ctx context.Context, from string, q Q) (A, error)) {
	m.Handle(method, func(ctx context.Context, s *strm.Stream) error {
		var q Q
		if err := s.Recv(ctx, &q); err != nil {
			return err
		}
		a, err := serve(ctx, s.Peer(), q)
		if err != nil {
			return err
		}
		return s.SendLast(ctx, a)
	})
}
