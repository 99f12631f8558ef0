// Package grant grants owners permits to load models, one at a time for each store.
//
// The node that a weight store's name hashes to schedules the store's loads. A permit is bound to the stream it was requested
// on, so a node that dies releases it. If the scheduling node is unreachable, loads proceed without a permit after a random
// wait: slower together, but a rarely used adapter doesn't wait for a failover.
package grant

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"time"

	"damaskreach/internal/loads"
	"damaskreach/internal/loop"
	"damaskreach/internal/peer"
	"damaskreach/internal/permit"
	"damaskreach/internal/policy"
	"damaskreach/internal/sess"
	"damaskreach/internal/strm"
)

const (
	methodPermit = "permit"
	permitLease  = time.Minute
	fallbackWait = time.Second
)

// Grant schedules loads on its own node and requests permits from others. The fields are set before Register.
type Grant struct {
	Loop *loop.Loop
	Mesh *peer.Mesh
	// Policy is the order in which loads are granted.
	Policy policy.Policy
	// Rate returns the loads a second that a weight store allows.
	Rate func(store string) float64
	// Home returns the node that a key hashes to and whether it is this one.
	Home func(ctx context.Context, key string) (sess.Session, bool, error)

	stores map[string]*store // owned by Loop
}

type store struct {
	loads   *loads.Loads
	waiting map[permitRequest]chan struct{}
	nonces  map[permitRequest]string // nonce of the newest request per load that waits or is running
	granted map[permitRequest]bool
	timer   *time.Timer // fires at the next grant
}

type permitRequest struct {
	Store   string  `msgpack:"store"`
	Owner   string  `msgpack:"owner"`
	Runner  string  `msgpack:"runner"`
	Model   string  `msgpack:"model"`
	Urgency float64 `msgpack:"urgency"`
	Nonce   string  `msgpack:"nonce"` // distinguishes requests for the same load
}

type permitReply struct{}

// Register installs the handler for permit requests of other nodes.
func (g *Grant) Register() {
	g.stores = map[string]*store{}
	g.Mesh.Handle(methodPermit, g.servePermit)
}

// Acquire waits for a permit and returns the function that releases it.
func (g *Grant) Acquire(ctx context.Context, storeName, owner, runner, model string, urgency float64) (func(), error) {
	q := permitRequest{Store: storeName, Owner: owner, Runner: runner, Model: model, Urgency: urgency, Nonce: crand.Text()}
	home, local, err := g.Home(ctx, "store/"+storeName)
	if err != nil {
		return nil, err
	}
	if local {
		return g.acquireLocal(ctx, q)
	}
	done, err := g.acquireRemote(ctx, home.Peer, q)
	if err == nil || ctx.Err() != nil {
		return done, err
	}
	return func() {}, sleep(ctx, fallbackWait+rand.N(fallbackWait))
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (g *Grant) acquireRemote(ctx context.Context, addr string, q permitRequest) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	s, err := g.Mesh.Open(ctx, addr, methodPermit, q)
	if err == nil {
		err = s.Recv(ctx, &permitReply{})
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return cancel, nil
}

// servePermit holds a permit for another node until the stream ends.
func (g *Grant) servePermit(ctx context.Context, s *strm.Stream) error {
	var q permitRequest
	if err := s.Recv(ctx, &q); err != nil {
		return err
	}
	done, err := g.acquireLocal(ctx, q)
	if err != nil {
		return err
	}
	defer done()
	if err := s.Send(ctx, permitReply{}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (g *Grant) acquireLocal(ctx context.Context, q permitRequest) (func(), error) {
	ready := make(chan struct{})
	if err := g.Loop.Post(func() { g.enqueue(q, ready) }); err != nil {
		return nil, err
	}
	done := func() { _ = g.Loop.Post(func() { g.release(q) }) }
	select {
	case <-ready:
		return done, nil
	case <-ctx.Done():
		done()
		return nil, ctx.Err()
	}
}

// enqueue queues a load. When a load is retried, its first permit may not be released yet, since that message uses another
// stream; the new request then takes over the permit. Queued behind it, it would wait for itself, as the store has only one.
func (g *Grant) enqueue(q permitRequest, ready chan struct{}) {
	s := g.storeOf(q.Store)
	s.loads.SetRate(g.Rate(q.Store)) // may have been reconfigured
	key := q.key()
	s.nonces[key] = q.Nonce
	if s.granted[key] {
		close(ready)
		return
	}
	s.waiting[key] = ready
	g.deliver(s, s.loads.Request(time.Now(), q.Owner, q.Runner, q.Model, q.Urgency))
}

func (g *Grant) release(q permitRequest) {
	s := g.storeOf(q.Store)
	key := q.key()
	if s.nonces[key] != q.Nonce {
		return // a newer request holds the permit now
	}
	delete(s.nonces, key)
	delete(s.granted, key)
	delete(s.waiting, key)
	g.deliver(s, s.loads.Release(time.Now(), q.Runner, q.Model))
}

func (g *Grant) storeOf(name string) *store {
	s := g.stores[name]
	if s == nil {
		s = &store{
			loads:   loads.NewWithPolicy(g.Rate(name), permitLease, g.Policy),
			waiting: map[permitRequest]chan struct{}{},
			nonces:  map[permitRequest]string{},
			granted: map[permitRequest]bool{},
		}
		g.stores[name] = s
	}
	return s
}

// key returns the fields that identify a load, without those that differ between requests for it.
func (q permitRequest) key() permitRequest {
	return permitRequest{Runner: q.Runner, Model: q.Model}
}

// deliver passes permits to the waiting requests and schedules the next grant. A fixed interval would waste the store: at
// three loads a second, a wait of up to 100 ms after each would cost a quarter of them.
func (g *Grant) deliver(s *store, permits []permit.Permit) {
	for _, p := range permits {
		key := permitRequest{Runner: p.Runner, Model: p.Model}
		if ready := s.waiting[key]; ready != nil {
			delete(s.waiting, key)
			s.granted[key] = true
			close(ready)
		}
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	next := s.loads.NextGrant()
	if next.IsZero() {
		return
	}
	s.timer = time.AfterFunc(time.Until(next), func() {
		_ = g.Loop.Post(func() { g.deliver(s, s.loads.Tick(time.Now())) }) // a stopped node grants nothing
	})
}
