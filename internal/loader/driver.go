package loader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/intent"
	"damaskreach/internal/memo"
	"damaskreach/internal/model"
	"damaskreach/internal/pool"
	"damaskreach/internal/target"
)

const (
	// orderTimeout bounds one order. Engines answer within milliseconds; an unanswered order is sent again with the same
	// sequence number, which is safe.
	orderTimeout = 80 * time.Millisecond
	// loadQueueTimeout is how long a load may wait in the queue of an engine.
	loadQueueTimeout = 2500 * time.Millisecond
	// reportTimeout bounds one state request to an engine.
	reportTimeout = 400 * time.Millisecond
	// reportLag is how old an engine's report may be; after a conflict the next one is requested once that has passed.
	reportLag = 130 * time.Millisecond
	// maxPendingLoads bounds the concurrent loads on one engine.
	maxPendingLoads = 4
	// evictIdleTime is how long an adapter must be idle to be evicted for a waiting request: a caller that has just got its
	// answer may send another one.
	evictIdleTime = 100 * time.Millisecond
	// spreadIdleTime is how long an adapter must be idle to be evicted for a load that no request waits for: several times the
	// length of a stream, so that the next request is unlikely to need it.
	spreadIdleTime = 5 * time.Second
	// initialColdLoadTime and initialWarmLoadTime are the expected load times until some were measured.
	initialColdLoadTime = 200 * time.Millisecond
	initialWarmLoadTime = 30 * time.Millisecond
	// pollInterval is the pause between two checks whether a load is complete.
	pollInterval = 25 * time.Millisecond
	// loadTimeout is how long a load may take before it counts as failed.
	loadTimeout = 8 * time.Second
	// idleInterval is how long a driver or prompt queue with nothing to do sleeps.
	idleInterval = 300 * time.Millisecond
	// memoInterval is how often the memo is updated; lease renewals store it.
	memoInterval = time.Second
	// maxCached is how many cached adapters are tracked before the oldest are dropped: twice what a memo holds.
	maxCached = 200
	// memoTimeout bounds fetching a memo; the engine works without one.
	memoTimeout = 300 * time.Millisecond
	// loadTimeWeight is the weight of the newest load in the moving average of load times.
	loadTimeWeight = 0.2
)

// driver issues the orders to one engine, one at a time, on its own goroutine.
type driver struct {
	loader   *Loader
	id       string
	ctx      context.Context
	cancel   context.CancelFunc
	requests chan waiter
	backlog  atomic.Int32 // loads that are queued or in progress
	prompts  *promptQueue
	serving  atomic.Pointer[map[string]int] // adapters that the engine serves, for other goroutines
	memo     atomic.Pointer[memo.Memo]      // state that is to survive this host

	mu       sync.Mutex
	lastUsed map[string]time.Time

	// The fields below belong to the goroutine.
	known          bool // whether held is up to date
	born           int64
	sequence       int64
	models         map[string]bool
	held           map[string]int
	unloading      map[string]bool // unloads that wait for running requests; their slots are not free yet
	pending        map[string]*load
	cachedAt       map[string]time.Time // adapters that this incarnation of the engine has held, with the time: they load faster
	startedAt      time.Time
	memoUpdated    time.Time
	memoFetched    bool
	loadQueue      []waiter  // loads that cannot start yet
	modelPollAt    time.Time // next check of the base model load
	modelLoadStart time.Time // zero while no base model is loading
	modelFromStore bool      // the load comes from the weight store and counts against its limit
	coldLoadTime   time.Duration
	warmLoadTime   time.Duration
	reportedAt     time.Time
	eventInterval  time.Duration // between two events of a stream, as far as this host knows
}

func newDriver(parent context.Context, loader *Loader, id string, prompts *promptQueue) *driver {
	ctx, cancel := context.WithCancel(parent)
	d := &driver{
		loader: loader, id: id, prompts: prompts, ctx: ctx, cancel: cancel, requests: make(chan waiter, maxQueuedLoads),
		lastUsed: map[string]time.Time{}, coldLoadTime: initialColdLoadTime, warmLoadTime: initialWarmLoadTime, startedAt: time.Now(),
	}
	d.reset()
	go d.run()
	return d
}

func (d *driver) reset() {
	d.serving.Store(&map[string]int{})
	d.known = false
	d.endModelLoad(model.Model{}, false)
	d.held = map[string]int{}
	d.models = map[string]bool{}
	d.unloading = map[string]bool{}
	d.cachedAt = map[string]time.Time{}
	d.memoFetched = false
	d.failPending(merry.Prepend(intent.ErrLoadFailed, "the engine restarted"))
}

// failPending fails all loads in progress.
func (d *driver) failPending(err error) {
	for _, l := range d.pending {
		l.finish(false)
		for _, w := range l.waiters {
			w.done <- err
		}
	}
	d.pending = map[string]*load{}
}

func (d *driver) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			d.endModelLoad(model.Model{}, false)
			return
		case w := <-d.requests:
			d.loadQueue = append(d.loadQueue, w)
		case <-timer.C:
		}
		d.drainRequests()
		timer.Reset(d.step())
	}
}

// loadWait returns how long a new load would wait for those before it.
func (d *driver) loadWait() time.Duration {
	return time.Duration(d.backlog.Load()) * d.loader.Flow.Baseline() / maxPendingLoads
}

// holds reports whether the engine serves the wanted adapter version, as far as this host knows.
func (d *driver) holds(w intent.Intent) bool {
	if w.Adapter == "" {
		return true
	}
	v, ok := (*d.serving.Load())[w.Adapter]
	return ok && v >= w.Version
}

// enqueue queues a load; it reports false if the queue is full.
func (d *driver) enqueue(w waiter) bool {
	select {
	case d.requests <- w:
		return true
	default:
		return false
	}
}

// drainRequests queues all requests that have arrived, so that one step serves a burst.
func (d *driver) drainRequests() {
	for {
		select {
		case w := <-d.requests:
			d.loadQueue = append(d.loadQueue, w)
		default:
			return
		}
	}
}

func (d *driver) markUsed(adapters []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range adapters {
		if now.After(d.lastUsed[a]) {
			d.lastUsed[a] = now
		}
	}
}

// step does what is due and returns the time until the next step.
func (d *driver) step() time.Duration {
	t, ok := d.loader.View().Targets[d.id]
	if !ok || d.loader.isDraining(t) {
		d.refuseAll(intent.ErrDraining)
		return idleInterval
	}
	d.prompts.setSlots(d.pool(t).Slots)
	if t.Incarnation > d.born {
		d.prompts.resetEventInterval()
		d.reset()
		d.born = t.Incarnation
	}
	if len(d.unloading) > 0 {
		d.known = false // only the engine's state tells when it has dropped them
	}
	if !d.known && !d.syncState(t) {
		d.expireQueue()
		return idleInterval / 3
	}
	d.pollLoads(t)
	d.adoptVersions(t)
	if !d.ensureModel(t) {
		d.expireQueue()
		return idleInterval / 3
	}
	d.startLoads(t)
	if d.updateEventInterval() {
		d.publish()
	}
	d.updateMemo(time.Now())
	d.backlog.Store(int32(len(d.loadQueue) + len(d.pending)))
	return d.stepDelay()
}

func (d *driver) stepDelay() time.Duration {
	wait := idleInterval
	now := time.Now()
	for _, l := range d.pending {
		wait = min(wait, l.nextPoll.Sub(now))
	}
	if len(d.loadQueue) > 0 {
		wait = min(wait, pollInterval)
	}
	return max(wait, time.Millisecond)
}

// refuseAll fails everything that waits at an engine that accepts nothing new. Loads in progress are no longer followed.
func (d *driver) refuseAll(err error) {
	for _, w := range d.loadQueue {
		w.done <- err
	}
	d.loadQueue = nil
	d.failPending(err)
	d.known = false
	d.prompts.refuseAll(err)
}

// expireQueue fails loads that have waited for too long, and drops those whose callers have left.
func (d *driver) expireQueue() {
	kept := d.loadQueue[:0]
	for _, w := range d.loadQueue {
		if w.isCanceled() {
			continue
		}
		if time.Since(w.queuedAt) < loadQueueTimeout {
			kept = append(kept, w)
			continue
		}
		_, idleTime := d.leastRecentlyUsed()
		d.loader.Log.Info("load given up", zap.String("target", d.id), zap.String("adapter", w.Adapter), zap.Bool("known", d.known),
			zap.Int("held", len(d.held)), zap.Int("pending", len(d.pending)), zap.Int("leaving", len(d.unloading)),
			zap.Int("queue", len(d.loadQueue)), zap.Duration("idle", idleTime), zap.Duration("cold", d.coldLoadTime))
		w.done <- merry.Prepend(intent.ErrLoadFailed, "the engine cannot load now")
	}
	d.loadQueue = kept
}

func (d *driver) pool(t target.Target) pool.Pool {
	return d.loader.View().Rules.Pools[t.Group]
}
