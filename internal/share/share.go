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
	methodOwn     = "own-digests"
	askTimeout    = time.Second
	counters      = time.Second     // least time between digests of a runner that differ in counters alone
	refresh       = 5 * time.Second // after which all are sent, changed or not: homes drop old choices of their own by them
)

// Share sends this node's digests to the others and takes theirs. The fields are set before Register.
type Share struct {
	Mesh *peer.Mesh
	// Peers returns the addresses of the site's other nodes.
	Peers func() []string
	// Learn takes the digests that another node sent.
	Learn func(digests []digest.Digest)
	// Own returns the digests of the runners that this node owns.
	Own func() []digest.Digest

	// Self names this life of the node.
	Self func() string

	mu      sync.Mutex
	sending map[string]bool            // by address
	waiting map[string][]digest.Digest // newest digests not yet sent, by address
	told    map[string]told            // what the others have, by address
}

// told is what one other node has taken. A process that replaces it at its address has nothing.
type told struct {
	life    string
	all     time.Time        // when it was last sent all
	digests map[string]known // by runner
}

// known is the digest that another node has of a runner.
type known struct {
	digest digest.Digest
	at     time.Time
}

type digestsSaid struct {
	Life string `msgpack:"life"`
}

// Register takes other nodes' digests.
func (s *Share) Register() {
	s.sending = map[string]bool{}
	s.waiting = map[string][]digest.Digest{}
	s.told = map[string]told{}
	peer.Answer(s.Mesh, methodDigests, func(_ context.Context, _ string, digests []digest.Digest) (digestsSaid, error) {
		s.Learn(digests)
		return digestsSaid{Life: s.Self()}, nil
	})
	peer.Answer(s.Mesh, methodOwn, func(context.Context, string, ownAsk) ([]digest.Digest, error) {
		return s.Own(), nil
	})
}

// Send passes this node's digests to every other node without waiting, to each those that it does not have yet: most
// runners stand as they stood a second ago. To a node that is slow to take them only the newest go next, so that a
// backlog of old ones cannot build up.
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
	changed := s.changed(addr, digests)
	if len(changed) == 0 {
		return
	}
	var said digestsSaid
	err := s.Mesh.Ask(ctx, addr, methodDigests, changed, &said)
	s.note(addr, changed, said.Life, len(changed) == len(digests), err)
}

// changed returns the digests that differ from those an address has, their running number aside. Counters alone go once
// a second: a home adds its own choices to them until they are over, and sees the others' a second late.
func (s *Share) changed(addr string, digests []digest.Digest) []digest.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.told[addr].all) >= refresh {
		return digests
	}
	var changed []digest.Digest
	for _, d := range digests {
		k, ok := s.told[addr].digests[d.Runner]
		if !ok || !k.digest.Same(d) && (!k.digest.Alike(d) || time.Since(k.at) >= counters) {
			changed = append(changed, d)
		}
	}
	return changed
}

// note remembers what an address has taken. After a failure, or an answer from another process than before, it counts
// as having nothing, and the next round sends all.
func (s *Share) note(addr string, sent []digest.Digest, life string, all bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, before := s.told[addr]
	if err != nil || before && t.life != life {
		delete(s.told, addr)
		return
	}
	if !before {
		t = told{life: life, digests: map[string]known{}}
	}
	if all {
		t.all = time.Now()
	}
	s.told[addr] = t
	for _, d := range sent {
		t.digests[d.Runner] = known{digest: d, at: time.Now()}
	}
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
