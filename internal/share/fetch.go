package share

import (
	"context"
	"sync"

	"damaskreach/internal/digest"
)

type ownRequest struct{}

// Fetch requests the digests of their runners from the nodes at addrs in parallel, skipping nodes known to be down. It
// passes those that arrive before ctx ends to OnDigests and returns the number of nodes asked.
func (s *Share) Fetch(ctx context.Context, addrs []string) int {
	var all sync.WaitGroup
	asked := 0
	for _, addr := range addrs {
		if s.Mesh.Down(addr) {
			continue
		}
		asked++
		all.Go(func() { s.fetchFrom(ctx, addr) })
	}
	all.Wait()
	return asked
}

func (s *Share) fetchFrom(ctx context.Context, addr string) {
	var digests []digest.Digest
	if err := s.Mesh.Ask(ctx, addr, methodOwn, ownRequest{}, &digests); err == nil {
		s.OnDigests(digests)
	}
}
