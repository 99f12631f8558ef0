package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/bounds"
	"damaskreach/internal/charge"
	"damaskreach/internal/chunk"
	"damaskreach/internal/gossip"
	"damaskreach/internal/mate"
	"damaskreach/internal/mates"
	"damaskreach/internal/peer"
	"damaskreach/internal/piece"
	"damaskreach/internal/ruling"
	"damaskreach/internal/setup"
	"damaskreach/internal/spent"
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
	// spentFor bounds telling a host that a turn has ended; it does not matter to it any more after that.
	spentFor = 500 * time.Millisecond
	// secretWait is the pause before the hosts' secret is looked for again.
	secretWait = 50 * time.Millisecond
)

// What hosts ask each other.
const (
	methodTell   = "tell"
	methodAdmit  = "admit"
	methodCharge = "charge"
	methodPermit = "permit"
	methodSpent  = "spent"
	methodPiece  = "piece"
	methodPass   = "pass"
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
	m := mates.NewMates(s.Mate())
	m.Hosts, m.Roster, m.Own, m.Add, m.Hear, m.Log = e.tenure.Hosts, e.roster, e.own, e.addFeeds, func(g gossip.Gossip) { e.hear(ctx, g) }, e.Log
	m.Ask = func(ctx context.Context, to mate.Mate, g gossip.Gossip) (answer gossip.Gossip, err error) {
		err = mesh.Ask(ctx, to.Peers, methodTell, g, &answer)
		return answer, err
	}
	peer.Answer(mesh, methodTell, func(_ context.Context, _ string, g gossip.Gossip) (gossip.Gossip, error) {
		return m.Answer(g), nil
	})
	peer.Answer(mesh, methodAdmit, func(ctx context.Context, _ string, w want.Want) (string, error) {
		e.learnLimit(w)
		return want.Text(e.giver.Admit(ctx, w)), nil
	})
	peer.Answer(mesh, methodSpent, func(_ context.Context, _ string, s spent.Spent) (struct{}, error) {
		e.ended(s)
		return struct{}{}, nil
	})
	peer.Answer(mesh, methodPermit, func(_ context.Context, _ string, w want.Want) (ruling.Ruling, error) {
		return e.counted(w), nil
	})
	peer.Answer(mesh, methodPiece, func(_ context.Context, from string, q piece.Piece) (chunk.Chunk, error) {
		return e.depot.Answer(from, q)
	})
	peer.Answer(mesh, methodCharge, func(_ context.Context, _ string, c charge.Charge) (ruling.Ruling, error) {
		return e.quotas.Charge(c), nil
	})
	mesh.Handle(methodPass, e.pass)
	l, err := e.Listen(s.Peers)
	if err != nil {
		e.Log.Error("no port for other hosts", zap.String("addr", s.Peers), zap.Error(err))
		return
	}
	e.mesh.Store(mesh)
	e.mates.Store(m)
	go m.Run(ctx)
	if err := mesh.Serve(ctx, l); err != nil {
		e.Log.Error("port for other hosts lost", zap.Error(err))
	}
}

// old returns how old what other hosts tell may be.
func (e *Edge) old() time.Duration {
	if m := e.mates.Load(); m != nil {
		return m.Times().Old()
	}
	return selfEvery
}

// unused returns how long no use of an adapter must have been heard of for it to be taken as unused.
func (e *Edge) unused() time.Duration {
	if m := e.mates.Load(); m != nil {
		return m.Times().Unused()
	}
	return selfEvery
}

// hear takes what another host said.
func (e *Edge) hear(ctx context.Context, g gossip.Gossip) {
	now := time.Now()
	e.feeds.Hear(g.IP, g.Known, g.Feeds)
	e.hearNamed(ctx, g)
	e.hearMarks(g, now)
	for _, b := range g.Hosts {
		for id, n := range b.Loads {
			e.pick.Told(id, n, now)
		}
		for id, ms := range b.Waits {
			e.pick.Waits(id, time.Duration(ms)*time.Millisecond, now)
		}
		e.news.loading(b.IP, b.Models)
	}
	for _, s := range g.Held {
		e.holds.Tell(s.ID, s.Born, s.Sequence, s.Adapters)
		e.speeds.Told(s.ID, s.Event)
	}
	e.blame.Hear(g.Broke, now)
	e.giver.RecordUsage(g.Uses, now)
}

// learn takes what an engine holds that this host orders.
func (e *Edge) learn(s stock.Stock) {
	e.holds.Tell(s.ID, s.Born, s.Sequence, s.Adapters)
	e.holds.Recall(s.ID, s.Born, s.Recent)
	e.speeds.Told(s.ID, s.Event)
	e.roster.Held(s)
}

// use records a use of an adapter until done is called. The host that orders the engine is told, so that the adapter is
// not the first to go.
func (e *Edge) use(id, adapter string) (done func()) {
	e.news.begin(id, adapter)
	if adapter != "" && e.tenure.Owner(id) == e.Setup().IP {
		e.giver.MarkUsed(id, []string{adapter}, time.Now())
	}
	return func() { e.news.end(id, adapter) }
}

// ordered reports whether some host that is alive, and reaches upstreams, gives an engine its orders.
func (e *Edge) ordered(id string) bool {
	owner := e.tenure.Owner(id)
	return e.held(id, owner) && (owner == e.Setup().IP || e.able(owner))
}

// held reports whether the host that holds an engine is alive and may act on it.
func (e *Edge) held(id, owner string) bool {
	if owner == e.Setup().IP {
		_, ok := e.tenure.Fence(id)
		return ok
	}
	m := e.mates.Load()
	return m != nil && m.Ordering(owner)
}

// admit has an adapter loaded by the host that orders the engine and waits until a prompt may be sent. Where the engine holds it, another host
// grants the turn in place of one that is lost.
func (e *Edge) admit(ctx context.Context, w want.Want) error {
	owner := e.tenure.Owner(w.ID)
	if w.Held {
		owner = e.turner(w.ID)
	}
	w.Host = e.Setup().IP
	if owner == w.Host {
		return e.giver.Admit(ctx, w)
	}
	mesh := e.mesh.Load()
	if mesh == nil {
		return want.ErrElsewhere
	}
	var text string
	if err := mesh.Ask(ctx, e.tenure.Host(owner).Peers, methodAdmit, e.withLimit(w), &text); err != nil {
		return err
	}
	return want.FromText(text)
}

// spent tells the host that granted a turn that it has ended. Where that host does not hear it, the prompt counts as read some time after it
// should have been.
func (e *Edge) spent(s spent.Spent) {
	owner := e.turner(s.Engine)
	if owner == e.Setup().IP {
		e.ended(s)
		return
	}
	mesh := e.mesh.Load()
	if mesh == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), spentFor)
		defer cancel()
		var none struct{}
		if err := mesh.Ask(ctx, e.tenure.Host(owner).Peers, methodSpent, s, &none); err != nil {
			e.Log.Debug("end of a turn not told", zap.String("target", s.Engine), zap.Error(err))
		}
	}()
}

// ended takes that a turn, or a request at a brittle upstream, has ended that this host counts.
func (e *Edge) ended(s spent.Spent) {
	e.giver.EndTurn(s)
	e.flight.Ended(s.Engine, s.Turn, s.Away)
}

// modelLoads returns how many base models are on their way to engines of other hosts, and how long this host lets others go
// first: hosts that wait for the same load to end have different times, so that the next one is seen before a third begins.
func (e *Edge) modelLoads() (loading int, first time.Duration) {
	hosts := e.tenure.Hosts()
	self := hosts[e.Setup().IP]
	before := 0
	for _, other := range hosts {
		if other.Before(self) {
			before++
		}
	}
	return e.news.modelLoads(e.live), time.Duration(min(before, mostFirst)) * modelStep
}

// charge asks the host that holds a part of teams' limits to count a request.
func (e *Edge) charge(ctx context.Context, c charge.Charge) (ruling.Ruling, error) {
	owner := e.tenure.Owner(c.Part)
	if owner == e.Setup().IP {
		return e.quotas.Charge(c), nil
	}
	mesh := e.mesh.Load()
	if mesh == nil || !e.live(owner) {
		return ruling.Ruling{}, want.ErrElsewhere
	}
	var r ruling.Ruling
	err := mesh.Ask(ctx, e.tenure.Host(owner).Peers, methodCharge, c, &r)
	return r, err
}
