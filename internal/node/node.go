// Package node puts the parts of one node together.
package node

import (
	"context"
	"net"
	"sync/atomic"

	"go.uber.org/zap"

	"damaskreach/internal/admin"
	"damaskreach/internal/admit"
	"damaskreach/internal/audit"
	"damaskreach/internal/claim"
	"damaskreach/internal/conf"
	"damaskreach/internal/entry"
	"damaskreach/internal/extend"
	"damaskreach/internal/follow"
	"damaskreach/internal/gather"
	"damaskreach/internal/grant"
	"damaskreach/internal/home"
	"damaskreach/internal/hosts"
	"damaskreach/internal/lease"
	"damaskreach/internal/loop"
	"damaskreach/internal/member"
	"damaskreach/internal/owner"
	"damaskreach/internal/peer"
	"damaskreach/internal/place"
	"damaskreach/internal/reason"
	"damaskreach/internal/relay"
	"damaskreach/internal/sess"
	"damaskreach/internal/share"
	"damaskreach/internal/suspct"
	"damaskreach/internal/table"
	"damaskreach/internal/watch"
)

const mostDecisions = 4096 // kept in the journal of a node

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
	// Pause is called at points where a test may pause the node; see packages lease and owner.
	Pause func(point string)

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

	ctx      context.Context
	started  atomic.Bool
	draining atomic.Bool
	closed   atomic.Bool
	drain    chan struct{}
}

// NewNode returns a node with the settings c that reaches everything over dial.
func NewNode(c conf.Conf, dial func(ctx context.Context, addr string) (net.Conn, error), listen func(addr string) (net.Listener, error), log *zap.Logger) *Node {
	return &Node{
		Conf:   c,
		Table:  table.NewTable(c.Tables, dial),
		Log:    log,
		Dial:   dial,
		Listen: listen,
		Hosts:  hosts.NewHosts(c.Hosts, dial),
		Pause:  func(string) {},
		drain:  make(chan struct{}),
	}
}

// Run serves until ctx ends, or until a drain is complete.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.ctx = ctx
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
	n.audit.Add(n.lease.Session().Node, request, why)
}

func (n *Node) build() {
	c := n.Conf
	n.loop = loop.NewLoop()
	n.audit = audit.NewAudit(mostDecisions)
	n.mesh = peer.NewMesh(c.Node, secrets(c), n.Dial, n.Log).WithAddr(c.Peer)
	n.members = member.NewMember(c.Lease)
	session := sess.Session{Node: c.Node, Site: c.Site, Centre: c.Centre, Peer: c.Peer, HTTP: c.HTTP, Admin: c.Admin}
	n.watch = watch.NewWatch(n.Hosts, n.Log)
	n.lease = lease.NewLease(n.Table, session, c.Lease, c.Renew, n.Log).WithPause(n.Pause)
	n.buildRoles()
	n.buildEntry()
}

func (n *Node) buildRoles() {
	c := n.Conf
	n.share = &share.Share{Mesh: n.mesh, Peers: n.peers, Learn: n.learn}
	n.follow = &follow.Follow{Table: n.Table, Mesh: n.mesh, Poll: c.Poll, Log: n.Log, Peers: n.peers}
	n.follow.Register()
	n.gather = gather.NewGather(n.Table, c.ClaimWindow)
	n.suspect = &suspct.Suspect{
		Ctx: n.ctx, Mesh: n.mesh, Table: n.Table, Life: c.SuspectLife, Poll: c.Poll, Log: n.Log,
		Write: n.gather.Write, Peers: n.peers, Home: func(ctx context.Context, key string) (sess.Session, bool, error) { return n.home.Of(ctx, key) },
	}
	n.home = &home.Home{
		Ctx: n.ctx, Alone: n.suspect.Alone, Suspect: n.suspect.Refusal,
		Loop: n.loop, Lease: n.lease, Members: n.members, Mesh: n.mesh, Log: n.Log, Note: n.note,
		Place: place.NewPlace(n.follow.Catalog().Tune()),
	}
	n.grant = &grant.Grant{Loop: n.loop, Mesh: n.mesh, Home: n.home.Of, Rate: n.storeRate}
	n.owner = &owner.Owner{
		Site: c.Site, MaxRequest: c.MaxRequest, ReportLag: reportLag, Poll: c.Poll,
		Loop: n.loop, Lease: n.lease, Table: n.Table, Members: n.members, Log: n.Log,
		Catalog: n.follow.Catalog, Connect: n.connect, Permit: n.permit, Busy: n.busy, Gone: n.watch.Gone, Leaving: n.watch.Leaving,
		Note: n.note, Changed: n.changed, Pause: n.Pause, Enter: n.suspect.Enter, Suspects: n.suspect.Waiting,
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
	n.admit = &admit.Admit{Loop: n.loop, Mesh: n.mesh, Catalog: n.follow.Catalog, Peers: n.peers}
	n.relay = &relay.Relay{Mesh: n.mesh, Self: n.self, Local: n.owner.Run}
}

func (n *Node) buildEntry() {
	c := n.Conf
	n.entry = &entry.Entry{
		MaxBody: c.MaxBody, MaxRequest: c.MaxRequest, EntriesLife: c.EntriesLife, RetryShare: c.RetryBudget, Log: n.Log,
		Catalog: n.follow.Catalog, Choose: n.home.Choose, Run: n.relay.Run, Admit: n.admit.Ask, Begin: n.claim.Begin, Settle: n.home.Settle,
		Serving: n.serving, Closed: n.closed.Load, Observe: n.observe,
	}
	n.admin = &admin.Admin{
		Session: n.lease.Session, Nodes: n.nodes, Digests: n.digests, Catalog: n.follow.Catalog,
		Drain: n.Drain, Audit: n.audit,
	}
}

func (n *Node) self() string {
	return n.lease.Session().ID()
}
