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

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/flow"
	"damaskreach/internal/jitter"
	"damaskreach/internal/memo"
	"damaskreach/internal/ration"
	"damaskreach/internal/spent"
	"damaskreach/internal/state"
	"damaskreach/internal/stats"
	"damaskreach/internal/stock"
	"damaskreach/internal/target"
	"damaskreach/internal/turns"
	"damaskreach/internal/usage"
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
		if _, ok := v.Targets[id]; !ok && g.desks[id] == nil {
			l.end()
			delete(g.lanes, id)
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

// Admit returns once the engine holds the adapter and may be sent the prompt, or why it will not.
func (g *Giver) Admit(ctx context.Context, w want.Want) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := g.desk(w.ID)
	if d == nil && w.Held {
		return g.turn(ctx, w)
	}
	if d == nil {
		return merry.Wrap(want.ErrElsewhere)
	}
	done := make(chan error, 1)
	waiting := waiter{Want: w, done: done, gone: ctx.Done(), since: time.Now(), block: new(string)}
	if d.serves(w) {
		d.lane.add(waiting)
	} else if w.Limit > 0 && d.loadWait() > w.Limit || !d.ask(waiting) {
		return merry.Wrap(want.ErrBusy)
	}
	select {
	case err := <-done:
		return err
	case <-d.ctx.Done():
		return merry.Wrap(want.ErrElsewhere)
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "waiting for a load")
	}
}

// turn returns once a prompt may be sent to an engine that holds what is asked for and that this host does not order: where no host does, one
// grants the turns alone, since hosts that each count for themselves would overfill it.
func (g *Giver) turn(ctx context.Context, w want.Want) error {
	t, ok := g.View().Targets[w.ID]
	l := g.lane(w.ID)
	if !ok || l == nil {
		return merry.Wrap(want.ErrElsewhere)
	}
	if t.Draining || g.Leaves(t) {
		return merry.Prepend(want.ErrFailed, "the engine leaves")
	}
	l.resize(g.View().Rules.Pools[t.Group].Slots)
	done := make(chan error, 1)
	l.add(waiter{Want: w, done: done, gone: ctx.Done(), since: time.Now(), block: new(string)})
	select {
	case err := <-done:
		return err
	case <-l.ctx.Done():
		return merry.Wrap(want.ErrElsewhere)
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "waiting for a turn")
	}
}

// Spent takes that a turn has ended.
func (g *Giver) Spent(s spent.Spent) {
	g.mu.Lock()
	l := g.lanes[s.Engine]
	g.mu.Unlock()
	if l != nil {
		l.spent(s)
	}
}

// Memos returns what is to outlive this host of each engine that it orders.
func (g *Giver) Memos() map[string]memo.Memo {
	g.mu.Lock()
	defer g.mu.Unlock()
	memos := map[string]memo.Memo{}
	for id, d := range g.desks {
		if m := d.memo.Load(); m != nil {
			memos[id] = *m
		}
	}
	return memos
}

// Used records that requests use adapters at an engine, so that they are not the first to go.
func (g *Giver) Used(id string, adapters []string, now time.Time) {
	if d := g.desk(id); d != nil {
		d.touch(adapters, now)
	}
}

// Waits returns how long a prompt would wait at each engine whose turns this host grants.
func (g *Giver) Waits(grants func(id string) bool) map[string]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	waits := map[string]time.Duration{}
	for id, l := range g.lanes {
		if !grants(id) {
			continue
		}
		waits[id] = l.wait()
		if d := g.desks[id]; d != nil {
			waits[id] += d.loadWait()
		}
	}
	return waits
}

// Take records what hosts' requests use at engines whose turns this host grants: how many there are, how fast they go, and their adapters, so
// that these are not the first to go.
func (g *Giver) Take(uses []usage.Usage, now time.Time) {
	for _, u := range uses {
		at := u.At(now)
		if l := g.lane(u.Engine); l != nil {
			l.told(u, at)
		}
		if d := g.desk(u.Engine); d != nil {
			d.touch(u.Adapters, at)
		}
	}
}

// Loads returns how many requests run at each engine whose turns this host grants; 0 where the last of them ended a moment ago, so that nobody
// goes on believing the count before.
func (g *Giver) Loads(grants func(id string) bool) map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := map[string]int{}
	for id, l := range g.lanes {
		if n, tell := l.running(); tell && grants(id) {
			loads[id] = n
		}
	}
	return loads
}
