// Package admit holds callers to their limits at the node they reach.
//
// Every node counts what passes through it. Of each limit in use it tells one node, the home of the adapter or tenant by
// rendezvous hash, twice a second, and hears from it what the others used, so that a limit holds over all nodes to the
// bound that package limit states, without a message for each request.
package admit

import (
	"context"
	"crypto/rand"
	"time"

	mrand "math/rand/v2"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/call"
	"damaskreach/internal/catlog"
	"damaskreach/internal/limit"
	"damaskreach/internal/loop"
	"damaskreach/internal/peer"
	"damaskreach/internal/sess"
	"damaskreach/internal/sums"
	"damaskreach/internal/ticker"
	"damaskreach/pkg/refuse"
)

var errReport = merry.Sentinel("limits: a report without an amount for each key")

// Admit is a node's part in limits. The fields are set before Register and not changed afterwards.
type Admit struct {
	Loop *loop.Loop
	Mesh *peer.Mesh
	// Catalog returns the configuration in force.
	Catalog func() catlog.Catalog
	// Self is this node's address.
	Self string
	// Peers returns the addresses of the site's other nodes.
	Peers func() []string
	// Serving returns the site's nodes that take part, of which each limit has its home.
	Serving func() []sess.Session

	limit *limit.Limit // control state
	sums  *sums.Sums   // control state
	life  uint32       // tells this process from another at its address
	homes homes
	sent  map[string]bool // keys of the last report; of Run alone
}

// Register takes other nodes' use.
func (a *Admit) Register() {
	a.limit = limit.NewLimit(limit.Learnt)
	a.sums = sums.NewSums(time.Now())
	a.life = mrand.Uint32()
	a.register()
}

// Run tells the homes of limits what this node used, until ctx ends.
func (a *Admit) Run(ctx context.Context) {
	for range ticker.Repeat(ctx, every, nil) {
		a.look(ctx)
		a.tell(ctx)
	}
}

// Ask charges a call to its adapter and tenant, or refuses it. The function it returns must be called once: with the
// answer's tokens, or with ran false where the call did not run and costs nothing.
func (a *Admit) Ask(ctx context.Context, c call.Call) (done func(tokens int, ran bool), refusal *refuse.Refusal) {
	catalog := a.Catalog()
	adapter, _ := catalog.Adapter(c.Adapter)
	owner, _ := catalog.Tenant(c.Tenant)
	if adapter.Requests+adapter.Tokens+owner.Requests+owner.Tokens == 0 {
		return func(int, bool) {}, nil
	}
	c = c.WithoutBody()
	c.ID = rand.Text() // callers may give two requests one id
	unheard, err := loop.Get(ctx, a.Loop, func() []string { return a.limit.Unheard(time.Now(), adapter, owner) })
	if err != nil {
		return func(int, bool) {}, nil
	}
	a.first(ctx, unheard)
	refusal, err = loop.Get(ctx, a.Loop, func() *refuse.Refusal { return a.limit.Admit(time.Now(), c, adapter, owner) })
	if err != nil || refusal != nil {
		return func(int, bool) {}, refusal
	}
	return func(tokens int, ran bool) { a.settle(c, tokens, ran) }, nil
}

func (a *Admit) settle(c call.Call, tokens int, ran bool) {
	_ = a.Loop.Post(func() {
		if ran {
			a.limit.Settle(time.Now(), c, tokens)
			return
		}
		a.limit.Return(time.Now(), c)
	})
}
