// Package share passes the digests of runners between the nodes of a site.
package share

import (
	"context"
	"sync"
	"time"

	"damaskreach/internal/digest"
	"damaskreach/internal/peer"
)

const (
	methodDigests = "digests"
	askTimeout    = time.Second
)

// Share sends this node's digests to the others and takes theirs. The fields are set before Register.
type Share struct {
	Mesh *peer.Mesh
	// Peers returns the addresses of the site's other nodes.
	Peers func() []string
	// Learn takes the digests that another node sent.
	Learn func(digests []digest.Digest)

	mu      sync.Mutex
	sending map[string]bool            // by address
	waiting map[string][]digest.Digest // newest digests not yet sent, by address
}

type digestsSaid struct{}

// Register takes other nodes' digests.
func (s *Share) Register() {
	s.sending = map[string]bool{}
	s.waiting = map[string][]digest.Digest{}
	peer.Answer(s.Mesh, methodDigests, func(_ context.Context, _ string, digests []digest.Digest) (digestsSaid, error) {
		s.Learn(digests)
		return digestsSaid{}, nil
	})
}

// Send passes digests to every other node without waiting. To a node that is slow to take them only the newest
// go next, so that a backlog of old ones cannot build up.
func (s *Share) Send(ctx context.Context, digests []digest.Digest) {
	if len(digests) == 0 {
		return
	}
	for _, addr := range s.Peers() {
		if s.begin(addr, digests) {
			go s.drain(ctx, addr, digests)
		}
	}
}

func (s *Share) begin(addr string, digests []digest.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sending[addr] {
		s.waiting[addr] = digests
		return false
	}
	s.sending[addr] = true
	return true
}

func (s *Share) drain(ctx context.Context, addr string, digests []digest.Digest) {
	for digests != nil {
		s.send(ctx, addr, digests)
		digests = s.next(addr)
	}
}

func (s *Share) send(ctx context.Context, addr string, digests []digest.Digest) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_ = s.Mesh.Ask(ctx, addr, methodDigests, digests, &digestsSaid{}) // the next round repeats it
}

func (s *Share) next(addr string) []digest.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	digests := s.waiting[addr]
	delete(s.waiting, addr)
	if digests == nil {
		delete(s.sending, addr)
	}
	return digests
}
