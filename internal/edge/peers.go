package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/bounds"
	"damaskreach/internal/gossip"
	"damaskreach/internal/mates"
	"damaskreach/internal/peer"
	"damaskreach/internal/setup"
	"damaskreach/internal/stock"
	"damaskreach/internal/turns"
	"damaskreach/internal/want"
)

const (
	// pingEvery and cutAfter find connections to other hosts that fell silent without a reset, before the hosts would count
	// as dead.
	pingEvery = 400 * time.Millisecond
	cutAfter  = 1200 * time.Millisecond
	// redialLeast and redialMost bound the pause before a host is dialled again.
	redialLeast = 100 * time.Millisecond
	redialMost  = 700 * time.Millisecond
	// modelStep is the time between hosts that may begin to load a base model: a message between hosts and some; mostFirst is
	// how many of them it counts.
	modelStep = 250 * time.Millisecond
	mostFirst = 8
	// secretWait is the pause before the hosts' secret is looked for again.
	secretWait = 50 * time.Millisecond
)

// runPeers joins the other hosts once their secret is known.
func (e *Edge) runPeers(ctx context.Context, s setup.Setup) {
	for e.tenure.Secret() == nil {
		if !turns.Sleep(ctx, secretWait) {
			return
		}
	}
	mesh := peer.NewMesh(s.IP, [][]byte{e.tenure.Secret()}, e.Dial, e.Log).WithAddr(s.Peers).
		WithBounds(bounds.NewBounds().WithKeepalive(pingEvery, cutAfter).WithBackoff(redialLeast, redialMost))
	m := &mates.Mates{
		Mesh: mesh, IP: s.IP, Hosts: e.tenure.Hosts, Tell: e.told, Hear: e.hear, Admit: e.giver.Admit, Log: e.Log,
	}
	m.Register()
	l, err := e.Listen(s.Peers)
	if err != nil {
		e.Log.Error("no port for other hosts", zap.String("addr", s.Peers), zap.Error(err))
		return
	}
	e.mates.Store(m)
	go m.Run(ctx)
	if err := mesh.Serve(ctx, l); err != nil {
		e.Log.Error("port for other hosts lost", zap.Error(err))
	}
}

// toldEvery returns how often other hosts tell of their requests.
func (e *Edge) toldEvery() time.Duration {
	if m := e.mates.Load(); m != nil {
		return m.Every()
	}
	return selfEvery
}

// hear takes what another host said.
func (e *Edge) hear(g gossip.Gossip) {
	now := time.Now()
	for id, n := range g.Loads {
		e.pick.Told(id, n, now)
	}
	if g.Read != nil {
		e.intake.Wake(*g.Read)
		e.tenure.Wake(g.Read.Fleet)
	}
	for _, s := range g.Held {
		e.holds.Tell(s.ID, s.Born, s.Sequence, s.Adapters)
	}
	for id, ms := range g.Waits {
		e.pick.Waits(id, time.Duration(ms)*time.Millisecond, now)
	}
	for id, adapters := range g.Used {
		e.giver.Used(id, adapters, now)
	}
	e.news.loading(g.IP, g.Models)
	e.blame.Hear(g.Broke, now)
	e.giver.Running(g.IP, g.Running, now)
}

// learn takes what an engine holds that this host orders.
func (e *Edge) learn(s stock.Stock) {
	e.holds.Tell(s.ID, s.Born, s.Sequence, s.Adapters)
	e.holds.Recall(s.ID, s.Born, s.Recent)
	e.news.put(s)
}

// use records a use of an adapter until done is called. The host that orders the engine is told, so that the adapter is
// not the first to go.
func (e *Edge) use(id, adapter string) (done func()) {
	e.news.begin(id, adapter)
	if adapter != "" && e.tenure.Owner(id) == e.Setup().IP {
		e.giver.Used(id, []string{adapter}, time.Now())
	}
	return func() { e.news.end(id, adapter) }
}

// ordered reports whether some host that is alive gives an engine its orders.
func (e *Edge) ordered(id string) bool {
	owner := e.tenure.Owner(id)
	if owner == e.Setup().IP {
		_, ok := e.tenure.Fence(id)
		return ok
	}
	m := e.mates.Load()
	return m != nil && m.Ordering(owner)
}

// admit has an adapter loaded by the host that orders the engine and waits until a prompt may be sent.
func (e *Edge) admit(ctx context.Context, w want.Want) error {
	owner := e.tenure.Owner(w.ID)
	w.Host = e.Setup().IP
	if owner == w.Host {
		return e.giver.Admit(ctx, w)
	}
	m := e.mates.Load()
	if m == nil {
		return want.ErrElsewhere
	}
	return m.AskAdmit(ctx, owner, w)
}

// modelLoads returns how many base models are on their way to engines of other hosts, and how long this host lets others go
// first: hosts that wait for the same load to end have different times, so that the next one is seen before a third begins.
func (e *Edge) modelLoads() (loading int, first time.Duration) {
	ip := e.Setup().IP
	before := 0
	for other := range e.tenure.Hosts() {
		if readRank(other) < readRank(ip) {
			before++
		}
	}
	return e.news.modelLoads(e.live), time.Duration(min(before, mostFirst)) * modelStep
}
