package loader_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/flow"
	"damaskreach/internal/intent"
	"damaskreach/internal/jitter"
	"damaskreach/internal/loader"
	"damaskreach/internal/memo"
	"damaskreach/internal/model"
	"damaskreach/internal/pool"
	"damaskreach/internal/ration"
	"damaskreach/internal/rules"
	"damaskreach/internal/state"
	"damaskreach/internal/stock"
	"damaskreach/internal/target"
	"damaskreach/internal/usage"
	"damaskreach/internal/view"
)

const (
	loadTime       = 250 * time.Millisecond
	cachedLoadTime = 25 * time.Millisecond // for a cached adapter
	reportLag      = 100 * time.Millisecond
)

// engine is a fake that counts orders as the users' runners do: loads and unloads count, including an unload that is done at
// once; a repeated order of a load in progress does not.
type engine struct {
	mu             sync.Mutex
	places         int
	usageInterval  time.Duration // how often hosts report their requests
	sequence       int64
	held           map[string]int
	newVersions    map[string]int // versions that loads bring; 1 by default
	pending        map[string]time.Time
	activeAdapters map[string]bool
	cached         map[string]bool // adapters that load without the weight store
	crashed        bool
	unloadsInUse   int             // unloads of adapters that were in use
	leaving        map[string]bool // adapters that it drops once no request uses them
	orders         int
	loseReply      func(n int) (lost bool, late time.Duration) // whether the nth order gets no answer, and when it is applied
	reports        []state.State                               // one per change, for the lag
	reportTimes    []time.Time
	memo           *memo.Memo // stored by a previous host
	ration         *ration.Ration
	draining       atomic.Bool
	slots          int  // requests that it runs concurrently; 0 means unknown
	ownedElsewhere bool // managed by another host
}

func (e *engine) fetchMemo(context.Context, string) (memo.Memo, bool) {
	if e.memo == nil {
		return memo.Memo{}, false
	}
	return *e.memo, true
}

func newEngine(places int) *engine {
	begun := time.Now()
	e := &engine{
		ration: ration.NewRation(func() time.Duration { return time.Since(begun) }), places: places, usageInterval: 200 * time.Millisecond,
		held: map[string]int{}, pending: map[string]time.Time{}, activeAdapters: map[string]bool{}, leaving: map[string]bool{},
	}
	e.recordState()
	return e
}

func (e *engine) ownedIDs() []string {
	if e.ownedElsewhere {
		return nil
	}
	return []string{"e"}
}

func (e *engine) finishLoads() {
	for a, at := range e.pending {
		takes := loadTime
		if e.cached[a] {
			takes = cachedLoadTime
		}
		if time.Since(at) >= takes {
			delete(e.pending, a)
			e.held[a] = max(1, e.newVersions[a])
			e.recordState()
		}
	}
}

// setActive says whether requests use an adapter.
func (e *engine) setActive(adapter string, active bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeAdapters[adapter] = active
	if !active && e.leaving[adapter] {
		delete(e.leaving, adapter)
		delete(e.held, adapter)
		e.recordState()
	}
}

func (e *engine) recordState() {
	pending := map[string]int{}
	for a := range e.pending {
		pending[a] = max(1, e.newVersions[a])
	}
	e.reports = append(e.reports, state.State{
		Incarnation: 1, Sequence: e.sequence, Models: []string{"m"}, Adapters: maps.Clone(e.held), Pending: pending,
	})
	e.reportTimes = append(e.reportTimes, time.Now())
}

func (e *engine) apply(c change.Change) effect.Effect {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoads()
	name := c.Model + "/" + c.Adapter
	if c.Sequence != e.sequence {
		return effect.Conflict
	}
	if c.Load {
		if v, ok := e.held[name]; ok && v >= c.Version {
			return effect.Done
		}
		if _, ok := e.pending[name]; ok {
			return effect.Accepted
		}
		if _, replaces := e.held[name]; !replaces && e.usedPlaces() >= e.places {
			e.crashed = true
		}
		e.pending[name] = time.Now()
		e.sequence++
		e.recordState()
		return effect.Accepted
	}
	e.sequence++
	if e.activeAdapters[name] {
		e.unloadsInUse++
		e.leaving[name] = true
		e.recordState()
		return effect.Accepted
	}
	delete(e.held, name)
	e.recordState()
	return effect.Done
}

// setNewVersion sets the version that further loads of an adapter bring.
func (e *engine) setNewVersion(adapter string, version int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newVersions = map[string]int{adapter: version}
}

// heldAdapters returns the loaded adapters and their versions.
func (e *engine) heldAdapters() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.held)
}

// overfilled reports whether it was ordered to load more adapters than it has places for.
func (e *engine) overfilled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// usedPlaces returns how many places are taken; an adapter that is replaced keeps its place.
func (e *engine) usedPlaces() int {
	taken := len(e.held)
	for a := range e.pending {
		if _, replaces := e.held[a]; !replaces {
			taken++
		}
	}
	return taken
}

func (e *engine) sendOrder(ctx context.Context, c change.Change) (effect.Effect, error) {
	e.mu.Lock()
	e.orders++
	n := e.orders
	e.mu.Unlock()
	time.Sleep(time.Millisecond)
	if e.loseReply != nil {
		if lost, late := e.loseReply(n); lost {
			if late == 0 {
				e.apply(c)
			} else {
				time.AfterFunc(late, func() { e.apply(c) })
			}
			<-ctx.Done()
			return effect.Unknown, ctx.Err()
		}
	}
	return e.apply(c), nil
}

func (e *engine) fetchState(context.Context, change.Change) (state.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLoads()
	old := e.reports[0]
	for i, r := range e.reports {
		if time.Since(e.reportTimes[i]) >= reportLag {
			old = r
		}
	}
	return old, nil
}

// startReady runs a loader for one engine and waits until its state is known.
func startReady(t *testing.T, e *engine) *loader.Loader {
	l := startLoader(t, e)
	time.Sleep(time.Second)
	return l
}

// startLoaded runs a loader for one engine that holds adapter 0 and runs no request.
func startLoaded(t *testing.T, e *engine) *loader.Loader {
	t.Helper()
	l := startReady(t, e)
	l.RecordUsage([]usage.Usage{{Host: "h", Engine: "e"}}, time.Now())
	if err := admit(t, l, adapterName(0)); err != nil {
		t.Fatalf("load: %v", err)
	}
	return l
}

// newLoader returns a loader for one engine, not yet running.
func newLoader(e *engine) *loader.Loader {
	v := view.View{
		Rules: rules.Rules{Version: 1, Pools: map[string]pool.Pool{
			"g": {Engine: true, Slots: e.slots, MaxAdapters: e.places, MemoryMB: 1000, Models: []model.Model{{Name: "m", Adapter: 1}}},
		}},
		Targets: map[string]target.Target{"e": {ID: "e", Incarnation: 1, Group: "g", Slots: 4, Models: []string{"m"}}},
	}
	return &loader.Loader{
		SendOrder: e.sendOrder, FetchState: e.fetchState, Fence: func(string) (int64, bool) { return 1, true }, OwnedEngines: e.ownedIDs,
		View: func() view.View { return v }, Publish: func(stock.Stock) {}, FetchMemo: e.fetchMemo,
		Flow: flow.NewFlow(), Jitter: jitter.NewJitter(), Ration: e.ration,
		DrainAnnounced:  func(target.Target) bool { return e.draining.Load() },
		UnusedAfter:     func() time.Duration { return e.usageInterval * 5 / 2 },
		ModelLoadWindow: func() time.Duration { return 5 * time.Second }, Owner: "h",
		OtherModelLoads: func() (int, time.Duration) { return 0, 0 },
		Log:             zap.NewNop(),
	}
}

// startLoader runs a loader that has just gained one engine.
func startLoader(t *testing.T, e *engine) *loader.Loader {
	l := newLoader(e)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	go l.Run(ctx)
	time.Sleep(time.Millisecond)
	return l
}

func admit(t *testing.T, l *loader.Loader, adapter string) error {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return l.Admit(ctx, intent.Intent{EngineID: "e", Model: "m", Adapter: adapter})
}

func adapterName(i int) string { return fmt.Sprintf("m/a%d", i) }
