// Package giver gives orders to the engines that this host holds.
//
// Every order names how many orders the engine must have accepted before it. What the engine holds after that many
// orders is known exactly, so an order that would overfill it is never accepted, not even where an earlier order got no
// answer and is carried out late: of two orders with one count the engine takes one. Without the count, an order giver
// that did not know what a runner held would overfill it; the engine crashes then and comes back empty.
package giver

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/flow"
	"damaskreach/internal/jitter"
	"damaskreach/internal/memo"
	"damaskreach/internal/ration"
	"damaskreach/internal/state"
	"damaskreach/internal/stats"
	"damaskreach/internal/stock"
	"damaskreach/internal/target"
	"damaskreach/internal/turns"
	"damaskreach/internal/view"
	"damaskreach/internal/want"
)

const (
	// checkEvery is how often engines gained or lost are noticed; a store's reading is rarer than that.
	checkEvery = 100 * time.Millisecond
	// backlog is how many loads may wait at one engine: more than its places would only evict each other.
	backlog = 64
)

// Giver may be used from several goroutines. Its fields are set before Run.
type Giver struct {
	Give  func(ctx context.Context, c change.Change) (effect.Effect, error)
	Ask   func(ctx context.Context, c change.Change) (state.State, error) // only the target of c counts
	Fence func(id string) (int64, bool)
	Mine  func() []string
	View  func() view.View
	Tell  func(s stock.Stock) // takes what an engine holds, whenever it changes
	// Recall returns what another host, or this one before it ended, kept of an engine; false where there is nothing.
	Recall func(ctx context.Context, id string) (memo.Memo, bool)
	// Leaves reports whether an engine has told this host that it leaves, registered or not.
	Leaves func(t target.Target) bool
	// Ration bounds the requests for engines that name a limit.
	Ration *ration.Ration
	// Jitter is how much of the pause that streams allow is planned for reading, as engines keep to what is expected of them.
	Jitter *jitter.Jitter
	// Flow bounds the loads that are on their way to all engines of this host.
	Flow *flow.Flow
	// Others returns how many base models are on their way to engines of other hosts, and how long this host lets others go
	// first after one of theirs.
	Others func() (loading int, first time.Duration)
	// Unused returns how long no use of an adapter must have been heard of for it to be taken as unused. An unload that waits for a
	// request keeps the engine from any other unload until that has ended.
	Unused func() time.Duration
	// Window returns the time over which loads of base models from the weight store are counted.
	Window func() time.Duration
	Holder string
	Log    *zap.Logger
	Stats  *stats.Stats

	mu     sync.Mutex
	ctx    context.Context // of Run; nil before
	models models
	desks  map[string]*desk
	lanes  map[string]*lane // of engines that it orders, and of those whose turns it grants in place of another host
}

// Run keeps a desk for each engine that this host orders until ctx ends.
func (g *Giver) Run(ctx context.Context) {
	for range turns.Now(ctx, checkEvery, nil) {
		g.check(ctx)
	}
}

// check opens desks for engines that this host has got and closes those of engines that it has lost, and the lanes of engines that are gone.
// At those that leave nobody waits on.
func (g *Giver) check(ctx context.Context) {
	mine := map[string]bool{}
	v := g.View()
	for _, id := range g.Mine() {
		if t, ok := v.Targets[id]; ok && v.Rules.Pools[t.Group].Engine {
			mine[id] = true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ctx = ctx
	if g.desks == nil {
		g.desks, g.lanes = map[string]*desk{}, map[string]*lane{}
	}
	for id, d := range g.desks {
		if !mine[id] {
			g.Log.Info("engine given up", zap.String("target", id))
			d.end()
			delete(g.desks, id)
		}
	}
	for id := range mine {
		if g.desks[id] == nil {
			g.Log.Info("engine taken", zap.String("target", id))
			g.desks[id] = newDesk(ctx, g, id, g.laneOf(id))
		}
	}
	for id, l := range g.lanes {
		t, ok := v.Targets[id]
		if !ok && g.desks[id] == nil {
			l.end()
			delete(g.lanes, id)
		} else if ok && g.leaves(t) {
			l.refuse(want.ErrLeaves)
		}
	}
}

// laneOf returns the lane of an engine, a new one where there is none. It needs the lock.
func (g *Giver) laneOf(id string) *lane {
	if g.lanes[id] == nil {
		g.lanes[id] = newLane(g.ctx, id, g.Ration, g.Jitter)
	}
	return g.lanes[id]
}

// lane returns the lane of an engine that there is; nil before Run.
func (g *Giver) lane(id string) *lane {
	t, ok := g.View().Targets[id]
	g.mu.Lock()
	defer g.mu.Unlock()
	if !ok || g.ctx == nil || !g.View().Rules.Pools[t.Group].Engine {
		return nil
	}
	return g.laneOf(id)
}

func (g *Giver) desk(id string) *desk {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.desks[id]
}
