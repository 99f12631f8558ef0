// Package admit holds callers to their limits at the node they reach.
//
// Every node counts what passes through it and tells the others each second, so that a limit holds over all nodes to
// the bound that package limit states, without a message for each request.
package admit

import (
	"context"
	"crypto/rand"
	"time"

	"damaskreach/internal/call"
	"damaskreach/internal/catlog"
	"damaskreach/internal/limit"
	"damaskreach/internal/loop"
	"damaskreach/internal/peer"
	"damaskreach/internal/turns"
	"damaskreach/pkg/refuse"
)

const (
	methodUsed = "used"
	every      = time.Second
	askTimeout = time.Second
)

// Admit is a node's part in limits. The fields are set before Register and not changed afterwards.
type Admit struct {
	Loop *loop.Loop
	Mesh *peer.Mesh
	// Catalog returns the configuration in force.
	Catalog func() catlog.Catalog
	// Peers returns the addresses of the site's other nodes.
	Peers func() []string

	limit *limit.Limit // control state
	sent  bool         // the last report was not empty
}

type usedSaid struct{}

// Register takes other nodes' use.
func (a *Admit) Register() {
	a.limit = limit.NewLimit(limit.Learnt)
	peer.Answer(a.Mesh, methodUsed, func(ctx context.Context, from string, used map[string]float64) (usedSaid, error) {
		peers := len(a.Peers())
		return usedSaid{}, a.Loop.Do(ctx, func() { a.limit.Others(time.Now(), from, used, peers) })
	})
}

// Run tells the other nodes what this one used, until ctx ends.
func (a *Admit) Run(ctx context.Context) {
	for range turns.Every(ctx, every) {
		a.tell(ctx)
	}
}

// tell sends nothing while nothing limited is used, but for one empty report that ends the last one.
func (a *Admit) tell(ctx context.Context) {
	used, err := loop.Get(ctx, a.Loop, func() map[string]float64 { return a.limit.Used(time.Now()) })
	if err != nil || len(used) == 0 && !a.sent {
		return
	}
	a.sent = len(used) > 0
	for _, addr := range a.Peers() {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_ = a.Mesh.Ask(ctx, addr, methodUsed, used, &usedSaid{}) // the next second repeats it
		}()
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
	refusal, err := loop.Get(ctx, a.Loop, func() *refuse.Refusal { return a.limit.Admit(time.Now(), c, adapter, owner) })
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
