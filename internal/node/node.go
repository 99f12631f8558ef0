// Package node puts the parts of one node together.
package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/admin"
	"damaskreach/internal/admit"
	"damaskreach/internal/asker"
	"damaskreach/internal/audit"
	"damaskreach/internal/catlog"
	"damaskreach/internal/claim"
	"damaskreach/internal/conf"
	"damaskreach/internal/engine"
	"damaskreach/internal/entry"
	"damaskreach/internal/event"
	"damaskreach/internal/extend"
	"damaskreach/internal/follow"
	"damaskreach/internal/gather"
	"damaskreach/internal/grant"
	"damaskreach/internal/home"
	"damaskreach/internal/hosts"
	"damaskreach/internal/lease"
	"damaskreach/internal/ledger"
	"damaskreach/internal/loop"
	"damaskreach/internal/member"
	"damaskreach/internal/meter"
	"damaskreach/internal/object"
	"damaskreach/internal/owner"
	"damaskreach/internal/peer"
	"damaskreach/internal/place"
	"damaskreach/internal/policy"
	"damaskreach/internal/query"
	"damaskreach/internal/reason"
	"damaskreach/internal/relay"
	"damaskreach/internal/runner"
	"damaskreach/internal/sess"
	"damaskreach/internal/share"
	"damaskreach/internal/suspct"
	"damaskreach/internal/table"
	"damaskreach/internal/tune"
	"damaskreach/internal/watch"
)

const journalSize = 4 << 20 // bytes of decisions kept in memory

// Node is one process that serves callers and owns runners.
// The exported fields may be changed between NewNode and Run.
type Node struct {
	Conf  conf.Conf
	Table table.Table
	Log   *zap.Logger
	// Dial connects to another host.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Listen opens an address of this host.
	Listen func(addr string) (net.Listener, error)
	// Hosts reads the platform's host list.
	Hosts hosts.Hosts
	// Objects reaches the platform's object store; without functions the node does without.
	Objects object.Object
	// Connect returns the way to a runner.
	Connect func(r runner.Runner) engine.Engine
	// Policy is the variant of placement and scheduling; only comparisons change it.
	Policy policy.Policy

	loop    *loop.Loop
	mesh    *peer.Mesh
	lease   *lease.Lease
	members *member.Member
	watch   *watch.Watch
	owner   *owner.Owner
	home    *home.Home
	entry   *entry.Entry
	follow  *follow.Follow
	share   *share.Share
	relay   *relay.Relay
	grant   *grant.Grant
	gather  *gather.Gather
	claim   *claim.Claim
	suspect *suspct.Suspect
	admit   *admit.Admit
	extend  *extend.Extend
	admin   *admin.Admin
	audit   *audit.Audit
	meter   *meter.Meter
	ledger  *ledger.Ledger
	asker   *asker.Asker
	callers *http.Server

	keys     atomic.Pointer[[]string] // SHA-256 of operators' keys in force
	ctx      context.Context
	ports    sync.WaitGroup // of goroutines that serve a port, and close it as they end
	begun    time.Time      // when Run began
	started  atomic.Bool
	draining atomic.Bool
	closed   atomic.Bool
	ready    chan struct{} // closed once the parts are built
	drain    chan struct{}
	paused   atomic.Pointer[func(point string)]
}

// NewNode returns a node with the settings c that reaches everything over dial.
func NewNode(c conf.Conf, dial func(ctx context.Context, addr string) (net.Conn, error), listen func(addr string) (net.Listener, error), log *zap.Logger) *Node {
	n := &Node{
		Conf:    c,
		Table:   table.NewTable(c.Tables, dial),
		Log:     log,
		Dial:    dial,
		Listen:  listen,
		Hosts:   hosts.NewHosts(c.Hosts, dial),
		Objects: object.NewObject(c.Objects, dial),
		Connect: func(r runner.Runner) engine.Engine { return engine.NewEngine(r.Addr, dial) },
		Policy:  policy.Current(),
		drain:   make(chan struct{}),
		ready:   make(chan struct{}),
	}
	n.keys.Store(&c.Operators)
	return n
}

// Run serves until ctx ends, or until a drain is complete. Its ports are closed when it returns: a node that takes its place
// could not open them before, and would end at once.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer n.ports.Wait()
	defer cancel()
	n.ctx = ctx
	n.begun = time.Now()
	n.build()
	if err := n.serve(ctx); err != nil {
		return err
	}
	n.start(ctx)
	n.started.Store(true)
	select {
	case <-ctx.Done():
	case <-n.drain:
		n.finish(ctx)
	}
	n.mesh.Close()
	return nil
}

// note records a decision for operators.
func (n *Node) note(why reason.Reason, request string) {
	n.meter.Decided(why)
	e := event.Event{At: time.Now().Round(0).UTC(), Node: n.Conf.Node, Request: request, Why: why}
	n.audit.Add(e)
	if why.Lasting() {
		n.ledger.Add(e)
	}
}

// explain returns the decisions that this node knows of.
func (n *Node) explain(q query.Query) []event.Event {
	return event.Merge(n.audit.Find(q), n.ledger.Own(q))
}

func (n *Node) build() {
	c := n.Conf
	n.loop = loop.NewLoop()
	n.audit = audit.NewAudit(journalSize)
	n.meter = meter.NewMeter()
	n.meter.Targets = n.tune
	n.mesh = peer.NewMesh(c.Node, secrets(c), n.Dial, n.Log).WithAddr(c.Peer).WithBounds(meshBounds(c))
	n.members = member.NewMember(c.Lease)
	session := sess.Session{Node: c.Node, Site: c.Site, Centre: c.Centre, Peer: c.Peer, HTTP: c.HTTP, Admin: c.Admin}
	n.watch = watch.NewWatch(n.Hosts, n.Log)
	n.lease = lease.NewLease(n.Table, session, c.Lease, c.Renew, n.Log).WithPause(n.pause)
	n.buildRoles()
	n.buildEntry()
	n.buildGauges()
	close(n.ready)
}

func (n *Node) buildRoles() {
	c := n.Conf
	n.share = &share.Share{Mesh: n.mesh, Life: n.self, Peers: n.peers, OnDigests: n.learn, OwnDigests: n.digests}
	n.follow = &follow.Follow{
		Table: n.Table, Mesh: n.mesh, Poll: c.Poll, Log: n.Log, Name: c.Node, Peers: n.peers,
		Seeds: c.Seeds, Objects: n.Objects, Chosen: n.chosen,
	}
	n.follow.Register()
	n.gather = gather.NewGather(n.Table, c.ClaimWindow)
	n.suspect = &suspct.Suspect{
		Ctx: n.ctx, Mesh: n.mesh, Table: n.Table, Life: c.SuspectLife, Poll: c.Poll, Log: n.Log,
		Write: n.gather.Write, Peers: n.peers, Home: func(ctx context.Context, key string) (sess.Session, bool, error) { return n.home.Of(ctx, key) },
	}
	n.home = &home.Home{
		Ctx: n.ctx, Alone: n.suspect.Alone, Suspect: n.suspect.Refusal,
		Loop: n.loop, Lease: n.lease, Members: n.members, Mesh: n.mesh, Log: n.Log, Note: n.note,
		Place: place.NewWithPolicy(tune.Default(), n.Policy), Tune: n.tune, Known: n.known, Runners: n.staying, Fetch: n.fetch,
	}
	n.grant = &grant.Grant{Loop: n.loop, Mesh: n.mesh, Home: n.home.Of, Rate: n.storeRate, Policy: n.Policy}
	n.owner = &owner.Owner{
		Site: c.Site, MaxRequest: c.MaxRequest, ReportLag: reportLag, Poll: c.Poll,
		Loop: n.loop, Lease: n.lease, Table: n.Table, Members: n.members, Log: n.Log,
		Catalog: n.follow.Catalog, Connect: n.Connect, Permit: n.permit, Busy: n.busy, Gone: n.watch.Gone, Leaving: n.watch.Leaving,
		Note: n.note, Started: n.meter.Started, Changed: n.changed, Copies: n.home.Place.Copies, Pause: n.pause,
		Enter: n.suspect.Enter, Suspects: n.suspect.Waiting, Policy: n.Policy,
	}
	n.extend = &extend.Extend{
		Loop: n.loop, Lease: n.lease, Members: n.members, Mesh: n.mesh, Gone: n.watch.Gone, Term: c.Lease, Every: c.Renew, Log: n.Log,
		Ending: n.owner.Ending,
	}
	n.claim = &claim.Claim{
		Life: n.Conf.ClaimLife,
		Ctx:  n.ctx,
		Loop: n.loop, Mesh: n.mesh, Table: n.Table, Gather: n.gather, Log: n.Log, Keepers: c.Keepers, Home: n.home.Of,
		Self: func() string { return n.lease.Session().Key() },
	}
	n.ledger = &ledger.Ledger{Site: c.Site, Mesh: n.mesh, Table: n.Table, Log: n.Log, Home: n.home.Of}
	n.asker = &asker.Asker{Mesh: n.mesh, Peers: n.peers, Own: n.explain, Kept: n.ledger.Find}
	n.admit = &admit.Admit{
		Loop: n.loop, Mesh: n.mesh, Catalog: n.follow.Catalog, Self: c.Peer, Peers: n.peers,
		Serving: func() []sess.Session { all, _ := n.serving(n.ctx, ""); return all }, // none when the node has stopped
	}
	n.relay = &relay.Relay{Mesh: n.mesh, Self: n.self, Local: n.owner.Run}
}

func (n *Node) buildEntry() {
	c := n.Conf
	n.entry = &entry.Entry{
		MaxBody: c.MaxBody, MaxHeader: c.MaxHeader, MaxRequest: c.MaxRequest, EntriesLife: c.EntriesLife, Log: n.Log,
		Catalog: n.follow.Catalog, Choose: n.home.Choose, Run: n.relay.Run, Admit: n.admit.Ask, Begin: n.claim.Begin, Settle: n.home.Settle,
		Serving: n.serving, Closed: n.closed.Load, Observe: n.observe,
	}
	n.admin = &admin.Admin{
		Session: n.lease.Session, Nodes: n.nodes, Digests: n.digests, Catalog: n.follow.Catalog,
		Drain: n.Drain, Explain: n.asker.Find, Operators: n.operators, Meter: n.meter,
	}
}

func (n *Node) self() string {
	return n.lease.Session().ID()
}

// Catalog returns the configuration in force on the node; it waits for Run to begin.
func (n *Node) Catalog() catlog.Catalog {
	<-n.ready
	return n.follow.Catalog()
}

// SetPause sets a function called at points where a test may pause the node; see packages lease and owner.
func (n *Node) SetPause(at func(point string)) {
	n.paused.Store(&at)
}

func (n *Node) pause(point string) {
	if at := n.paused.Load(); at != nil {
		(*at)(point)
	}
}
