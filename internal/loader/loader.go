// Package loader loads and unloads adapters on the engines that this host owns, and admits prompts to them.
//
// Every order carries the number of orders that the engine must have accepted before it, which determines exactly what the
// engine holds by then. An engine accepts at most one order per number, so an unanswered order that arrives late cannot
// overfill it. Without the number a loader with an outdated view would overfill the engine, which then crashes and restarts
// empty.
package loader

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/flow"
	"damaskreach/internal/intent"
	"damaskreach/internal/jitter"
	"damaskreach/internal/memo"
	"damaskreach/internal/ration"
	"damaskreach/internal/state"
	"damaskreach/internal/stats"
	"damaskreach/internal/stock"
	"damaskreach/internal/target"
	"damaskreach/internal/ticker"
	"damaskreach/internal/view"
)

const (
	// reconcileInterval is how often gained and lost engines are detected; the store is read less often than that.
	reconcileInterval = 100 * time.Millisecond
	// maxQueuedLoads bounds the queue of loads for one engine: more than its adapter slots would only evict each other.
	maxQueuedLoads = 64
)

// Loader sends the engines that this host owns their orders. It is safe for concurrent use; its fields are set before Run.
type Loader struct {
	SendOrder    func(ctx context.Context, c change.Change) (effect.Effect, error)
	FetchState   func(ctx context.Context, c change.Change) (state.State, error) // of c only the target is used
	Fence        func(id string) (int64, bool)                                   // fencing token of this host for an engine
	OwnedEngines func() []string                                                 // engines that this host owns
	View         func() view.View
	Publish      func(s stock.Stock) // called with what an engine holds whenever that changes
	// FetchMemo returns the memo of an engine that another host or an earlier process stored, if there is one.
	FetchMemo func(ctx context.Context, id string) (memo.Memo, bool)
	// DrainAnnounced reports whether an engine has told this host that it is draining, registered as such or not.
	DrainAnnounced func(t target.Target) bool
	// Ration enforces the rate limits that engines announce.
	Ration *ration.Ration
	// Jitter adapts the share of the stream gap that may be spent on reading prompts to how well engines keep to estimates.
	Jitter *jitter.Jitter
	// Flow bounds the concurrent loads on all engines of this host.
	Flow *flow.Flow
	// OtherModelLoads returns how many base models engines of other hosts are loading, and how long this host waits after
	// such a load.
	OtherModelLoads func() (loading int, delay time.Duration)
	// UnusedAfter returns how long no use of an adapter must have been reported before it counts as unused. An unload that
	// waits for a request blocks all other unloads on the engine until the request ends.
	UnusedAfter func() time.Duration
	// ModelLoadWindow returns the period over which base model loads from the weight store are limited.
	ModelLoadWindow func() time.Duration
	Owner           string
	Log             *zap.Logger
	Stats           *stats.Stats

	mu         sync.Mutex
	ctx        context.Context // of Run; nil before it
	modelLoads modelLimiter
	drivers    map[string]*driver
	queues     map[string]*promptQueue // by engine: those of this host, and those of other hosts for which it grants turns
}

// Run keeps a driver for each engine that this host owns until ctx ends.
func (l *Loader) Run(ctx context.Context) {
	for range ticker.Repeat(ctx, reconcileInterval, nil) {
		l.reconcile(ctx)
	}
}

// reconcile starts drivers for engines that this host has gained, stops those of engines that it has lost, and closes the queues of
// engines that no longer exist. Requests that wait at draining engines are refused.
func (l *Loader) reconcile(ctx context.Context) {
	owned := map[string]bool{}
	v := l.View()
	for _, id := range l.OwnedEngines() {
		if t, ok := v.Targets[id]; ok && v.Rules.Pools[t.Group].Engine {
			owned[id] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ctx = ctx
	if l.drivers == nil {
		l.drivers, l.queues = map[string]*driver{}, map[string]*promptQueue{}
	}
	for id, d := range l.drivers {
		if !owned[id] {
			l.Log.Info("engine given up", zap.String("target", id))
			d.cancel()
			delete(l.drivers, id)
		}
	}
	for id := range owned {
		if l.drivers[id] == nil {
			l.Log.Info("engine taken", zap.String("target", id))
			l.drivers[id] = newDriver(ctx, l, id, l.ensureQueue(id))
		}
	}
	for id, q := range l.queues {
		t, ok := v.Targets[id]
		if !ok && l.drivers[id] == nil {
			q.cancel()
			delete(l.queues, id)
		} else if ok && l.isDraining(t) {
			q.refuseAll(intent.ErrDraining)
		}
	}
}

// ensureQueue returns the prompt queue of an engine and creates it if needed. The caller holds l.mu.
func (l *Loader) ensureQueue(id string) *promptQueue {
	if l.queues[id] == nil {
		l.queues[id] = newPromptQueue(l.ctx, id, l.Ration, l.Jitter)
	}
	return l.queues[id]
}

// queue returns the prompt queue of a registered engine; nil before Run.
func (l *Loader) queue(id string) *promptQueue {
	t, ok := l.View().Targets[id]
	l.mu.Lock()
	defer l.mu.Unlock()
	if !ok || l.ctx == nil || !l.View().Rules.Pools[t.Group].Engine {
		return nil
	}
	return l.ensureQueue(id)
}

func (l *Loader) driver(id string) *driver {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.drivers[id]
}
