// Package share distributes the digests of runners between the nodes of a site.
package share

import (
	"context"
	"sync"
	"time"

	"damaskreach/internal/digest"
	"damaskreach/internal/peer"
)

const (
	methodDigests   = "digests"
	methodOwn       = "own-digests"
	askTimeout      = time.Second
	counterInterval = time.Second     // least time between digests of a runner that differ only in counters
	refreshInterval = 5 * time.Second // all digests are resent after this: homes drop their own old choices by them
)

// Share sends this node's digests to the other nodes and receives theirs. The fields are set before Register.
type Share struct {
	Mesh *peer.Mesh
	// Peers returns the addresses of the site's other nodes.
	Peers func() []string
	// OnDigests is called with the digests that another node sent.
	OnDigests func(digests []digest.Digest)
	// OwnDigests returns the digests of the runners that this node owns.
	OwnDigests func() []digest.Digest

	// Life returns an ID of this process, which changes with each start of the node.
	Life func() string

	mu      sync.Mutex
	sending map[string]bool            // by peer address
	pending map[string][]digest.Digest // newest digests not yet sent, by peer address
	peers   map[string]peerState       // by peer address
}

// peerState is what a peer has received. A new process at the same address starts with nothing.
type peerState struct {
	life       string
	fullSentAt time.Time             // when all digests were last sent
	digests    map[string]sentDigest // by runner
}

// sentDigest is the last digest of a runner that a peer received.
type sentDigest struct {
	digest digest.Digest
	sentAt time.Time
}

type digestsReply struct {
	Life string `msgpack:"life"`
}

// Register installs the handlers for the requests of other nodes.
func (s *Share) Register() {
	s.sending = map[string]bool{}
	s.pending = map[string][]digest.Digest{}
	s.peers = map[string]peerState{}
	peer.Answer(s.Mesh, methodDigests, func(_ context.Context, _ string, digests []digest.Digest) (digestsReply, error) {
		s.OnDigests(digests)
		return digestsReply{Life: s.Life()}, nil
	})
	peer.Answer(s.Mesh, methodOwn, func(context.Context, string, ownRequest) ([]digest.Digest, error) {
		return s.OwnDigests(), nil
	})
}

// Send passes this node's digests to every peer without waiting, and to each only those that it lacks, since most runners
// don't change within a second. For a slow peer only the newest digests are kept pending, so that no backlog builds up.
func (s *Share) Send(ctx context.Context, digests []digest.Digest) {
	if len(digests) == 0 {
		return
	}
	for _, addr := range s.Peers() {
		if s.startSending(addr, digests) {
			go s.sendLoop(ctx, addr, digests)
		}
	}
}

func (s *Share) startSending(addr string, digests []digest.Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sending[addr] {
		s.pending[addr] = digests
		return false
	}
	s.sending[addr] = true
	return true
}

func (s *Share) sendLoop(ctx context.Context, addr string, digests []digest.Digest) {
	for digests != nil {
		s.sendTo(ctx, addr, digests)
		digests = s.nextPending(addr)
	}
}

func (s *Share) sendTo(ctx context.Context, addr string, digests []digest.Digest) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	changed := s.changed(addr, digests)
	if len(changed) == 0 {
		return
	}
	var reply digestsReply
	err := s.Mesh.Ask(ctx, addr, methodDigests, changed, &reply)
	s.recordSent(addr, changed, reply.Life, len(changed) == len(digests), err)
}

// changed returns the digests that differ from those a peer has, apart from their sequence numbers. Changes of counters alone
// are sent once a second: a home adds its own choices to them, and sees those of others a second late.
func (s *Share) changed(addr string, digests []digest.Digest) []digest.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.peers[addr].fullSentAt) >= refreshInterval {
		return digests
	}
	var changed []digest.Digest
	for _, d := range digests {
		k, ok := s.peers[addr].digests[d.Runner]
		if !ok || !k.digest.Same(d) && (!k.digest.Alike(d) || time.Since(k.sentAt) >= counterInterval) {
			changed = append(changed, d)
		}
	}
	return changed
}

// recordSent stores what a peer has received. After a failure, or a reply from a new process, the state is dropped and the
// next round sends all digests.
func (s *Share) recordSent(addr string, sent []digest.Digest, life string, all bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, before := s.peers[addr]
	if err != nil || before && t.life != life {
		delete(s.peers, addr)
		return
	}
	if !before {
		t = peerState{life: life, digests: map[string]sentDigest{}}
	}
	if all {
		t.fullSentAt = time.Now()
	}
	s.peers[addr] = t
	for _, d := range sent {
		t.digests[d.Runner] = sentDigest{digest: d, sentAt: time.Now()}
	}
}

func (s *Share) nextPending(addr string) []digest.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	digests := s.pending[addr]
	delete(s.pending, addr)
	if digests == nil {
		delete(s.sending, addr)
	}
	return digests
}
