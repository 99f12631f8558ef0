package suspct

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	methodSuspect = "suspect"
	tellTime      = time.Second // for all nodes to take a record
)

// news is what one node tells the others about one suspect.
type news struct {
	Key     string  `msgpack:"key"`
	Request string  `msgpack:"request"`
	Crashes []crash `msgpack:"crashes"`
	Cleared bool    `msgpack:"cleared"` // it was answered in full
}

type newsSaid struct{}

// hear takes another node's news.
func (s *Suspect) hear(q news) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Cleared {
		delete(s.known, q.Key)
		return
	}
	s.merge(q.Key, q.Request, q.Crashes)
}

// tell passes news on to all other nodes and reports whether each of them has taken it.
func (s *Suspect) tell(ctx context.Context, q news) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	var missed atomic.Int64
	var group sync.WaitGroup
	for _, addr := range s.Peers() {
		group.Go(func() {
			if err := s.Mesh.Ask(ctx, addr, methodSuspect, q, &newsSaid{}); err != nil {
				missed.Add(1)
				s.Log.Warn("a node was not told of a suspect; it reads the table", zap.String("peer", addr), zap.Error(err))
			}
		})
	}
	group.Wait()
	return missed.Load() == 0
}

// crashed records that a request was running when its upstream broke down. It returns once the other nodes know, so that
// no repeat of the request, through whichever node, is taken for an ordinary one. Nodes that cannot be told directly have
// the row to read; with the table down as well, they are left out after tellTime.
func (s *Suspect) crashed(key, request string, c crash) {
	s.mu.Lock()
	r, grown := s.merge(key, request, []crash{c})
	if grown {
		r.dirty = true
		s.known[key] = r
	}
	s.mu.Unlock()
	stored := make(chan struct{})
	go func() {
		defer close(stored)
		s.store(s.Ctx, key)
	}()
	if s.tell(s.Ctx, news{Key: key, Request: request, Crashes: r.Crashes}) {
		return
	}
	select {
	case <-stored:
	case <-time.After(tellTime):
	case <-s.Ctx.Done():
	}
}

// clear ends a suspicion after a whole answer. Nobody waits for it: until the others know, the request runs alone.
func (s *Suspect) clear(key string) {
	s.mu.Lock()
	r, ok := s.known[key]
	delete(s.known, key)
	if ok {
		s.closed[key] = r.rev
	}
	s.mu.Unlock()
	if !ok {
		return
	}
	go func() {
		s.tell(s.Ctx, news{Key: key, Cleared: true})
		s.remove(s.Ctx, key)
	}()
}
