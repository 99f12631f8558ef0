package share

import (
	"context"
	"sync"

	"damaskreach/internal/digest"
)

type ownAsk struct{}

// Fetch asks the nodes at addrs at once for the digests of the runners they own, learns those that come until ctx ends,
// and returns how many nodes it asked. It leaves out nodes that are known to be down.
func (s *Share) Fetch(ctx context.Context, addrs []string) int {
	var all sync.WaitGroup
	asked := 0
	for _, addr := range addrs {
		if s.Mesh.Down(addr) {
			continue
		}
		asked++
		all.Go(func() { s.fetch(ctx, addr) })
	}
	all.Wait()
	return asked
}

func (s *Share) fetch(ctx context.Context, addr string) {
	var digests []digest.Digest
	if err := s.Mesh.Ask(ctx, addr, methodOwn, ownAsk{}, &digests); err == nil {
		s.Learn(digests)
	}
}
