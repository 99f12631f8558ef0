package node

import (
	"context"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/bounds"
	"damaskreach/internal/call"
	"damaskreach/internal/conf"
	"damaskreach/internal/digest"
	"damaskreach/internal/engine"
	"damaskreach/internal/group"
	"damaskreach/internal/loads"
	"damaskreach/internal/loop"
	"damaskreach/internal/peer"
	"damaskreach/internal/reason"
	"damaskreach/internal/runner"
	"damaskreach/internal/sess"
	"damaskreach/internal/spread"
	"damaskreach/internal/timing"
	"damaskreach/internal/tune"
	"damaskreach/pkg/refuse"
)

const (
	methodBusy = "busy"
	callRoom   = 64 << 10         // bytes of a message beside its body
	reportLag  = 10 * time.Second // how late an engine's report may be at the most
)

func secrets(c conf.Conf) [][]byte {
	var keys [][]byte
	for _, secret := range c.Secrets {
		keys = append(keys, []byte(secret))
	}
	return keys
}

// meshBounds lets a message between nodes hold the largest body of a caller and the largest answer of an upstream:
// with a smaller frame such a request would fail on every node but the owner.
func meshBounds(c conf.Conf) bounds.Bounds {
	return bounds.NewBounds().WithFrame(max(int(c.MaxBody), engine.PlainLimit) + callRoom)
}

// nodes returns the live sessions of the site.
func (n *Node) nodes() []sess.Session {
	live, err := loop.Get(n.ctx, n.loop, func() []sess.Session { return n.members.Live(time.Now()) })
	if err != nil {
		return nil
	}
	return live
}

// peers returns the addresses of the site's other nodes.
func (n *Node) peers() []string {
	var addrs []string
	for _, s := range n.nodes() {
		if s.Peer != n.Conf.Peer {
			addrs = append(addrs, s.Peer)
		}
	}
	return addrs
}

// serving returns the nodes that callers may use, the home of the model first.
func (n *Node) serving(ctx context.Context, model string) ([]sess.Session, error) {
	serving, err := loop.Get(ctx, n.loop, func() []sess.Session { return n.members.Serving(time.Now()) })
	if err != nil {
		return nil, err
	}
	ids := make([]string, 0, len(serving))
	for _, s := range serving {
		ids = append(ids, s.ID())
	}
	first := spread.OwnerOf(ids, model)
	for i, s := range serving {
		if s.ID() == first {
			return append(append([]sess.Session{s}, serving[:i]...), serving[i+1:]...), nil
		}
	}
	return serving, nil
}

// chosen reports whether this node is the one, of all that serve, to do a task.
func (n *Node) chosen(task string) bool {
	id, err := loop.Get(n.ctx, n.loop, func() string {
		var ids []string
		for _, s := range n.members.Serving(time.Now()) {
			ids = append(ids, s.ID())
		}
		return spread.OwnerOf(ids, task)
	})
	return err == nil && id == n.self()
}

func (n *Node) permit(ctx context.Context, r runner.Runner, why reason.Reason) (func(), error) {
	g, _ := n.follow.Catalog().Group(r.Group)
	return n.grant.Acquire(ctx, g.Store, n.self(), r.Name, why.Model, loads.Urgency(why))
}

// tune returns the options in force.
func (n *Node) tune() tune.Tune {
	return n.follow.Catalog().Tune()
}

// known reports whether the table has a runner.
func (n *Node) known(runner string) bool {
	_, known := n.follow.Catalog().Runner(runner)
	return known
}

// storeRate returns the rate of a weight store by the first group that names it.
func (n *Node) storeRate(store string) float64 {
	catalog := n.follow.Catalog()
	for _, name := range catalog.Groups() {
		if g, _ := catalog.Group(name); g.Store == store {
			return g.LoadRate()
		}
	}
	return group.Group{}.LoadRate()
}

// changed takes the digests of this node's runners. It runs on the control goroutine.
func (n *Node) changed(digests []digest.Digest) {
	n.home.Learn(digests)
	go n.share.Send(n.ctx, digests)
}

// learn takes the digests of another node's runners.
func (n *Node) learn(digests []digest.Digest) {
	_ = n.loop.Post(func() { n.home.Learn(digests) }) // a stopped node needs none
}

// Runners returns the digests of the runners that this node owns; a node that has not started or has ended has none.
func (n *Node) Runners() []digest.Digest {
	if n.started.Load() {
		return n.digests()
	}
	return nil
}

func (n *Node) digests() []digest.Digest {
	digests, err := loop.Get(n.ctx, n.loop, n.owner.Digests)
	if err != nil {
		return nil
	}
	return digests
}

type busyAsk struct {
	Session string `msgpack:"session"`
	Runner  string `msgpack:"runner"`
	Fence   int64  `msgpack:"fence"`
}

type busySaid struct {
	Models []string `msgpack:"models"`
}

// registerBusy answers successors: what this node's requests still use on a runner it owned.
func (n *Node) registerBusy() {
	peer.Answer(n.mesh, methodBusy, func(ctx context.Context, _ string, q busyAsk) (busySaid, error) {
		return n.answerBusy(ctx, q)
	})
}

// answerBusy refuses to speak for a session of another process: one that replaced it at the same address knows nothing
// of its requests, and an empty answer would free models that they use.
func (n *Node) answerBusy(ctx context.Context, q busyAsk) (busySaid, error) {
	if !n.lease.Owned(q.Session) {
		return busySaid{}, merry.Errorf("session %s is not of this process", q.Session)
	}
	models, err := loop.Get(ctx, n.loop, func() []string { return n.owner.InUse(q.Runner, q.Fence) })
	return busySaid{Models: models}, err
}

func (n *Node) busy(ctx context.Context, session, addr, runner string, fence int64) ([]string, error) {
	q := busyAsk{Session: session, Runner: runner, Fence: fence}
	if n.lease.Owned(session) {
		said, err := n.answerBusy(ctx, q)
		return said.Models, err
	}
	var said busySaid
	err := n.mesh.Ask(ctx, addr, methodBusy, q, &said)
	return said.Models, err
}

// observe records the outcome of a request for operators.
func (n *Node) observe(c call.Call, t timing.Timing, outcome *refuse.Refusal) {
	n.meter.Answered(c, t, outcome)
	if outcome == nil {
		return
	}
	why := reason.Reason{Kind: outcome.Code, Text: strings.TrimSuffix(outcome.Text, "."), Wait: outcome.Retry, Verdict: outcome.Verdict.String()}
	if c.Adapter != "" {
		why.Model = c.Model()
	}
	n.note(why, c.ID)
}
