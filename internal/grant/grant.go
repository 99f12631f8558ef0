// Package grant gives owners leave to load models, one store at a time.
//
// The node that a weight store's name hashes to orders the store's loads. A permit lives as long as the stream it was
// asked for on, so a node that dies gives it back. When that node cannot be reached, loads go on without a permit
// after a random wait: slower together, but a rarely used adapter is not kept waiting for a role to move.
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
	permitTerm   = time.Minute
	fallbackWait = time.Second
)

// Grant is a node's part in ordering loads. The fields are set before Register and not changed afterwards.
type Grant struct {
	Loop *loop.Loop
	Mesh *peer.Mesh
	// Policy says in which order loads are granted.
	Policy policy.Policy
	// Rate returns how many loads a second a weight store allows.
	Rate func(store string) float64
	// Home returns the node that a key hashes to and whether it is this one.
	Home func(ctx context.Context, key string) (sess.Session, bool, error)

	stores map[string]*store // control state
}

type store struct {
	loads   *loads.Loads
	waiting map[ask]chan struct{}
	asked   map[ask]string // nonce of the newest request for a load that waits or is under way
	granted map[ask]bool
	timer   *time.Timer // runs at the time of the next grant
}

type ask struct {
	Store   string  `msgpack:"store"`
	Owner   string  `msgpack:"owner"`
	Runner  string  `msgpack:"runner"`
	Model   string  `msgpack:"model"`
	Urgency float64 `msgpack:"urgency"`
	Nonce   string  `msgpack:"nonce"` // tells requests for the same load apart
}

type granted struct{}

// Register answers other nodes' requests for permits.
func (g *Grant) Register() {
	g.stores = map[string]*store{}
	g.Mesh.Handle(methodPermit, g.serve)
}

// Get waits for a permit and returns the function that gives it back.
func (g *Grant) Get(ctx context.Context, storeName, owner, runner, model string, urgency float64) (func(), error) {
	q := ask{Store: storeName, Owner: owner, Runner: runner, Model: model, Urgency: urgency, Nonce: crand.Text()}
	at, local, err := g.Home(ctx, "store/"+storeName)
	if err != nil {
		return nil, err
	}
	if local {
		return g.local(ctx, q)
	}
	done, err := g.remote(ctx, at.Peer, q)
	if err == nil || ctx.Err() != nil {
		return done, err
	}
	return func() {}, pause(ctx, fallbackWait+rand.N(fallbackWait))
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (g *Grant) remote(ctx context.Context, addr string, q ask) (func(), error) {
	ctx, cancel := context.WithCancel(ctx)
	s, err := g.Mesh.Open(ctx, addr, methodPermit, q)
	if err == nil {
		err = s.Recv(ctx, &granted{})
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return cancel, nil
}

// serve holds a permit for another node until the stream ends.
func (g *Grant) serve(ctx context.Context, s *strm.Stream) error {
	var q ask
	if err := s.Recv(ctx, &q); err != nil {
		return err
	}
	done, err := g.local(ctx, q)
	if err != nil {
		return err
	}
	defer done()
	if err := s.Send(ctx, granted{}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (g *Grant) local(ctx context.Context, q ask) (func(), error) {
	ready := make(chan struct{})
	if err := g.Loop.Post(func() { g.request(q, ready) }); err != nil {
		return nil, err
	}
	done := func() { _ = g.Loop.Post(func() { g.done(q) }) }
	select {
	case <-ready:
		return done, nil
	case <-ctx.Done():
		done()
		return nil, ctx.Err()
	}
}

// request queues a load. When a load is tried again, its first permit may not have been given back yet, since that
// message travels on another stream: the new request then takes that permit over. Queued behind it, it would wait for
// itself, as the store has only one.
func (g *Grant) request(q ask, ready chan struct{}) {
	s := g.store(q.Store)
	s.loads.Pace(g.Rate(q.Store)) // operators may have changed it
	key := q.key()
	s.asked[key] = q.Nonce
	if s.granted[key] {
		close(ready)
		return
	}
	s.waiting[key] = ready
	g.give(s, s.loads.Request(time.Now(), q.Owner, q.Runner, q.Model, q.Urgency))
}

func (g *Grant) done(q ask) {
	s := g.store(q.Store)
	key := q.key()
	if s.asked[key] != q.Nonce {
		return // a newer request holds the permit now
	}
	delete(s.asked, key)
	delete(s.granted, key)
	delete(s.waiting, key)
	g.give(s, s.loads.Done(time.Now(), q.Runner, q.Model))
}

func (g *Grant) store(name string) *store {
	s := g.stores[name]
	if s == nil {
		s = &store{loads: loads.NewVariant(g.Rate(name), permitTerm, g.Policy), waiting: map[ask]chan struct{}{}, asked: map[ask]string{}, granted: map[ask]bool{}}
		g.stores[name] = s
	}
	return s
}

// key leaves out what may differ between two requests for the same load.
func (q ask) key() ask {
	return ask{Runner: q.Runner, Model: q.Model}
}

// give passes permits on and sets the time of the next one. A fixed interval would waste the store: at three loads a
// second, a wait of up to 100 ms after each would cost a quarter of them.
func (g *Grant) give(s *store, permits []permit.Permit) {
	for _, p := range permits {
		key := ask{Runner: p.Runner, Model: p.Model}
		if ready := s.waiting[key]; ready != nil {
			delete(s.waiting, key)
			s.granted[key] = true
			close(ready)
		}
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	next := s.loads.Next()
	if next.IsZero() {
		return
	}
	s.timer = time.AfterFunc(time.Until(next), func() {
		_ = g.Loop.Post(func() { g.give(s, s.loads.Tick(time.Now())) }) // a stopped node grants nothing
	})
}
