package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/began"
	"damaskreach/internal/bounds"
	"damaskreach/internal/charge"
	"damaskreach/internal/chunk"
	"damaskreach/internal/gossip"
	"damaskreach/internal/intent"
	"damaskreach/internal/mate"
	"damaskreach/internal/mates"
	"damaskreach/internal/peer"
	"damaskreach/internal/piece"
	"damaskreach/internal/recall"
	"damaskreach/internal/ruling"
	"damaskreach/internal/setup"
	"damaskreach/internal/sight"
	"damaskreach/internal/spent"
	"damaskreach/internal/stock"
	"damaskreach/internal/ticker"
)

const (
	// pingInterval and pingTimeout detect connections to other hosts that broke silently, before the hosts would count as dead.
	pingInterval = 400 * time.Millisecond
	pingTimeout  = 1200 * time.Millisecond
	// minRedialDelay and maxRedialDelay bound the delay before a host is dialled again.
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = 700 * time.Millisecond
	// modelLoadStep is the delay between hosts that may start to load a base model: a little more than a message between hosts takes.
	// maxModelLoadSteps bounds how many hosts one waits for.
	modelLoadStep     = 250 * time.Millisecond
	maxModelLoadSteps = 8
	// turnEndTimeout bounds reporting the end of a turn; after that it is of no use to the granting host.
	turnEndTimeout = 500 * time.Millisecond
	// secretPollInterval is the delay before the hosts' shared secret is looked for again.
	secretPollInterval = 50 * time.Millisecond
)

// Methods of calls between hosts.
const (
	methodTell    = "tell"
	methodAdmit   = "admit"
	methodCharge  = "charge"
	methodPermit  = "permit"
	methodSpent   = "spent"
	methodPiece   = "piece"
	methodForward = "pass"
	methodBegan   = "began"
	methodSpool   = "spool"
	methodRecall  = "recall"
	methodLook    = "look"
)

// runPeers joins the other hosts once their shared secret is known.
func (e *Edge) runPeers(ctx context.Context, s setup.Setup) {
	for e.tenure.Secret() == nil {
		if !ticker.Sleep(ctx, secretPollInterval) {
			return
		}
	}
	mesh := peer.NewMesh(s.IP, [][]byte{e.tenure.Secret()}, e.Dial, e.Log).WithAddr(s.Peers).
		WithBounds(bounds.NewBounds().WithKeepalive(pingInterval, pingTimeout).WithBackoff(minRedialDelay, maxRedialDelay).
			WithPending(max(1, s.Files/pendingShare)))
	m := mates.NewMates(s.Mate())
	m.Hosts, m.Roster, m.OwnStatus, m.Attach, m.Observe, m.Log = e.tenure.Hosts, e.roster, e.ownStatus, e.addFeeds,
		func(g gossip.Gossip) { e.applyGossip(ctx, g) }, e.Log
	m.Send = func(ctx context.Context, to mate.Mate, g gossip.Gossip) (answer gossip.Gossip, err error) {
		err = mesh.Ask(ctx, to.PeerAddr, methodTell, g, &answer)
		return answer, err
	}
	peer.Answer(mesh, methodTell, func(_ context.Context, _ string, g gossip.Gossip) (gossip.Gossip, error) {
		return m.Answer(g), nil
	})
	peer.Answer(mesh, methodAdmit, func(ctx context.Context, _ string, w intent.Intent) (string, error) {
		e.applyLimit(w)
		return intent.EncodeError(e.loader.Admit(ctx, w)), nil
	})
	peer.Answer(mesh, methodSpent, func(_ context.Context, _ string, s spent.Spent) (struct{}, error) {
		e.endTurn(s)
		return struct{}{}, nil
	})
	peer.Answer(mesh, methodPermit, func(_ context.Context, _ string, w intent.Intent) (ruling.Ruling, error) {
		return e.countHere(w), nil
	})
	peer.Answer(mesh, methodPiece, func(_ context.Context, from string, q piece.Piece) (chunk.Chunk, error) {
		return e.depot.Answer(from, q)
	})
	peer.Answer(mesh, methodCharge, func(_ context.Context, _ string, c charge.Charge) (ruling.Ruling, error) {
		return e.quotas.Charge(c), nil
	})
	peer.Answer(mesh, methodBegan, func(_ context.Context, _ string, list []began.Began) (struct{}, error) {
		e.keepOrigins(list)
		return struct{}{}, nil
	})
	peer.Answer(mesh, methodSpool, func(_ context.Context, _ string, list []began.Began) (struct{}, error) {
		e.spool.Add(list)
		return struct{}{}, nil
	})
	peer.Answer(mesh, methodRecall, func(_ context.Context, _ string, q began.Began) (recall.Recall, error) {
		return e.recallStream(q), nil
	})
	peer.Answer(mesh, methodLook, func(_ context.Context, _ string, addr string) (sight.Sight, error) {
		return e.lookForPeer(addr), nil
	})
	mesh.Handle(methodForward, e.forwardConn)
	l, err := e.Listen(s.Peers)
	if err != nil {
		e.Log.Error("failed to listen for other hosts", zap.String("addr", s.Peers), zap.Error(err))
		return
	}
	e.mesh.Store(mesh)
	e.mates.Store(m)
	go m.Run(ctx)
	if err := mesh.Serve(ctx, l); err != nil {
		e.Log.Error("listener for other hosts failed", zap.Error(err))
	}
}

// maxGossipAge returns how old information from other hosts may be.
func (e *Edge) maxGossipAge() time.Duration {
	if m := e.mates.Load(); m != nil {
		return m.Rhythm().Old()
	}
	return selfReportInterval
}

// unusedAfter returns how long an adapter must have no reported use to count as unused.
func (e *Edge) unusedAfter() time.Duration {
	if m := e.mates.Load(); m != nil {
		return m.Rhythm().Unused()
	}
	return selfReportInterval
}

// applyGossip applies a message from another host.
func (e *Edge) applyGossip(ctx context.Context, g gossip.Gossip) {
	now := time.Now()
	e.feeds.Update(g.IP, g.KnownFeeds, g.Feeds)
	e.fetchNamed(ctx, g)
	e.applyMarks(g, now)
	for _, b := range g.Hosts {
		for id, n := range b.Requests {
			e.pick.SetReported(id, n, now)
		}
		for id, ms := range b.PromptWaits {
			e.pick.SetWait(id, time.Duration(ms)*time.Millisecond, now)
		}
		e.activity.setModelLoads(b.IP, b.ModelLoads)
	}
	for _, s := range g.Stocks {
		e.holds.Update(s.ID, s.Incarnation, s.Sequence, s.Adapters)
		e.speeds.SetReported(s.ID, s.EventInterval)
	}
	e.guard.AddReports(g.IP, g.Breaks, now)
	e.loader.RecordUsage(g.Usages, now)
}

// applyStock applies the state of an engine that this host owns.
func (e *Edge) applyStock(s stock.Stock) {
	e.holds.Update(s.ID, s.Incarnation, s.Sequence, s.Adapters)
	e.holds.AddCached(s.ID, s.Incarnation, s.Recent)
	e.speeds.SetReported(s.ID, s.EventInterval)
	e.roster.UpdateStock(s)
}

// trackUse records use of an adapter until done is called. The engine's owner learns of it, so that it does not evict the adapter.
func (e *Edge) trackUse(id, adapter string) (done func()) {
	e.activity.begin(id, adapter)
	if adapter != "" && e.tenure.Owner(id) == e.Setup().IP {
		e.loader.MarkUsed(id, []string{adapter}, time.Now())
	}
	return func() { e.activity.end(id, adapter) }
}

// hasOwner reports whether a host that is alive and reaches upstreams owns an engine.
func (e *Edge) hasOwner(id string) bool {
	owner := e.tenure.Owner(id)
	return e.ownerActive(id, owner) && (owner == e.Setup().IP || e.hostReaches(owner))
}

// ownerActive reports whether the owner of an engine is alive and may act on it.
func (e *Edge) ownerActive(id, owner string) bool {
	if owner == e.Setup().IP {
		_, ok := e.tenure.Fence(id)
		return ok
	}
	m := e.mates.Load()
	return m != nil && m.CanOwn(owner)
}

// admit asks an engine's owner to load an adapter and waits until a prompt may be sent. If the engine holds the adapter, a fallback host
// grants the turn while the owner is down.
func (e *Edge) admit(ctx context.Context, w intent.Intent) error {
	owner := e.tenure.Owner(w.EngineID)
	if w.Loaded {
		owner = e.turnGranter(w.EngineID)
	}
	w.Requester = e.Setup().IP
	if owner == w.Requester {
		return e.loader.Admit(ctx, w)
	}
	mesh := e.mesh.Load()
	if mesh == nil {
		return intent.ErrNotOwner
	}
	var text string
	if err := mesh.Ask(ctx, e.tenure.Host(owner).PeerAddr, methodAdmit, e.withLimit(w), &text); err != nil {
		return err
	}
	return intent.DecodeError(text)
}

// reportTurnEnd tells the host that granted a turn that it has ended. If the message is lost, the prompt counts as read some time after it
// should have been.
func (e *Edge) reportTurnEnd(s spent.Spent) {
	owner := e.turnGranter(s.Engine)
	if owner == e.Setup().IP {
		e.endTurn(s)
		return
	}
	mesh := e.mesh.Load()
	if mesh == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), turnEndTimeout)
		defer cancel()
		var none struct{}
		if err := mesh.Ask(ctx, e.tenure.Host(owner).PeerAddr, methodSpent, s, &none); err != nil {
			e.Log.Debug("failed to report the end of a turn", zap.String("target", s.Engine), zap.Error(err))
		}
	}()
}

// endTurn records the end of a turn, or of a request at a brittle upstream, that this host counts.
func (e *Edge) endTurn(s spent.Spent) {
	e.loader.EndTurn(s)
	e.flight.Release(s.Engine, s.Turn, s.Away)
}

// modelLoads returns how many base models engines of other hosts are loading, and how long this host waits before it starts a load: hosts
// that wait for the same load to end have different delays, so that the next load is seen before a third begins.
func (e *Edge) modelLoads() (loading int, stagger time.Duration) {
	hosts := e.tenure.Hosts()
	self := hosts[e.Setup().IP]
	ahead := 0
	for _, other := range hosts {
		if other.Before(self) {
			ahead++
		}
	}
	return e.activity.modelLoads(e.isAlive), time.Duration(min(ahead, maxModelLoadSteps)) * modelLoadStep
}

// charge asks the owner of a part of teams' limits to count a request.
func (e *Edge) charge(ctx context.Context, c charge.Charge) (ruling.Ruling, error) {
	owner := e.tenure.Owner(c.Shard)
	if owner == e.Setup().IP {
		return e.quotas.Charge(c), nil
	}
	mesh := e.mesh.Load()
	if mesh == nil || !e.isAlive(owner) {
		return ruling.Ruling{}, intent.ErrNotOwner
	}
	var r ruling.Ruling
	err := mesh.Ask(ctx, e.tenure.Host(owner).PeerAddr, methodCharge, c, &r)
	return r, err
}
