package giver

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/memo"
	"damaskreach/internal/model"
	"damaskreach/internal/pool"
	"damaskreach/internal/target"
	"damaskreach/internal/want"
)

const (
	// giveFor bounds an order. Engines answer within milliseconds; an order that gets no answer is given again with the
	// same count, which is safe.
	giveFor = 80 * time.Millisecond
	// queueFor is how long a load may wait for its turn at an engine.
	queueFor = 2500 * time.Millisecond
	// askFor bounds a report.
	askFor = 400 * time.Millisecond
	// reportLag is how long a report may be behind; after a conflict the next one is asked for after that.
	reportLag = 130 * time.Millisecond
	// transit is how many adapters may be on their way to one engine.
	transit = 4
	// settled is how long an adapter must not have been in use for its place to go to one that a request waits for: the next request
	// of a caller that has just got its answer may want it.
	settled = 100 * time.Millisecond
	// unused is how long an adapter must not have been in use for its place to go to one that nobody waits for: some times what a
	// stream takes, so that the place is not one that the next request asks for.
	unused = 5 * time.Second
	// firstCold and firstWarm are guesses of how long loads take until some were measured here.
	firstCold = 200 * time.Millisecond
	firstWarm = 30 * time.Millisecond
	// again is the pause between two looks at whether a load is complete.
	again = 25 * time.Millisecond
	// giveUp is how long a load may take before it is taken as failed.
	giveUp = 8 * time.Second
	// idle is the pause of a desk with nothing to do.
	idle = 300 * time.Millisecond
	// noteEvery is how often what is to outlive this host is brought up to date: a renewal writes it.
	noteEvery = time.Second
	// mostRecent is how many adapters may count as at hand before the oldest are dropped: twice what is kept of an engine.
	mostRecent = 200
	// recallFor bounds the look for what others kept; without it the engine serves all the same.
	recallFor = 300 * time.Millisecond
	// weight is that of the newest measured load in the mean.
	weight = 0.2
)

// desk gives the orders to one engine, one after the other, on a goroutine of its own.
type desk struct {
	g       *Giver
	id      string
	ctx     context.Context
	end     context.CancelFunc
	wants   chan waiter
	backlog atomic.Int32 // loads that wait or are on their way
	lane    *lane
	ready   atomic.Pointer[map[string]int] // what the engine holds and serves; read by other goroutines
	memo    atomic.Pointer[memo.Memo]      // what is to outlive this host

	mu   sync.Mutex
	used map[string]time.Time

	// The rest belongs to the goroutine.
	known    bool // what the engine holds is known
	born     int64
	sequence int64
	models   map[string]bool
	held     map[string]int
	leaving  map[string]bool // unloads that wait for running requests; their places are not free yet
	pending  map[string]*load
	recent   map[string]time.Time // adapters that the engine held in this incarnation, and when: they load sooner
	opened   time.Time            // when this desk was
	noted    time.Time            // when memo was made
	recalled bool                 // what others kept was looked for
	queue    []waiter             // loads that wait for others to complete
	model    time.Time            // when to look next at the load of the base model
	modelAt  time.Time            // when the load of the base model began that is under way
	counted  bool                 // it comes from the weight store
	cold     time.Duration
	warm     time.Duration
	asked    time.Time
	event    time.Duration // between two events of a stream, as this host knows it
}

func newDesk(parent context.Context, g *Giver, id string, l *lane) *desk {
	ctx, cancel := context.WithCancel(parent)
	d := &desk{
		g: g, id: id, lane: l, ctx: ctx, end: cancel, wants: make(chan waiter, backlog), used: map[string]time.Time{},
		cold: firstCold, warm: firstWarm, opened: time.Now(),
	}
	d.reset()
	go d.run()
	return d
}

func (d *desk) reset() {
	d.ready.Store(&map[string]int{})
	d.known = false
	d.endModel(model.Model{}, false)
	d.held = map[string]int{}
	d.models = map[string]bool{}
	d.leaving = map[string]bool{}
	d.recent = map[string]time.Time{}
	d.recalled = false
	d.fail(merry.Prepend(want.ErrFailed, "the engine restarted"))
}

// fail ends all loads under way.
func (d *desk) fail(err error) {
	for _, l := range d.pending {
		l.finish(false)
		for _, w := range l.waiters {
			w.done <- err
		}
	}
	d.pending = map[string]*load{}
}

func (d *desk) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			d.endModel(model.Model{}, false)
			return
		case w := <-d.wants:
			d.queue = append(d.queue, w)
		case <-timer.C:
		}
		d.drainWants()
		timer.Reset(d.step())
	}
}

// loadWait returns how long a load that comes now would wait for others at this engine.
func (d *desk) loadWait() time.Duration {
	return time.Duration(d.backlog.Load()) * d.g.Flow.Usual() / transit
}

// serves reports whether the engine holds what is wanted, as far as its orders go.
func (d *desk) serves(w want.Want) bool {
	if w.Adapter == "" {
		return true
	}
	v, ok := (*d.ready.Load())[w.Adapter]
	return ok && v >= w.Version
}

// ask queues a load; it reports false where too many wait.
func (d *desk) ask(w waiter) bool {
	select {
	case d.wants <- w:
		return true
	default:
		return false
	}
}

// drainWants takes all that was asked for meanwhile, so that one step serves a burst.
func (d *desk) drainWants() {
	for {
		select {
		case w := <-d.wants:
			d.queue = append(d.queue, w)
		default:
			return
		}
	}
}

func (d *desk) touch(adapters []string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range adapters {
		if now.After(d.used[a]) {
			d.used[a] = now
		}
	}
}

// step does what is due and returns when it wants to be called again at the latest.
func (d *desk) step() time.Duration {
	t, ok := d.g.View().Targets[d.id]
	if !ok || d.g.leaves(t) {
		d.refuse(want.ErrLeaves)
		return idle
	}
	d.lane.resize(d.pool(t).Slots)
	if t.Born > d.born {
		d.lane.renew()
		d.reset()
		d.born = t.Born
	}
	if !d.known && !d.sync(t) {
		d.expire()
		return idle / 3
	}
	d.poll(t)
	d.adopt(t)
	if !d.ensureModel(t) {
		d.expire()
		return idle / 3
	}
	d.serve(t)
	if d.measure() {
		d.tell()
	}
	d.keep(time.Now())
	d.backlog.Store(int32(len(d.queue) + len(d.pending)))
	return d.pause()
}

func (d *desk) pause() time.Duration {
	wait := idle
	now := time.Now()
	for _, l := range d.pending {
		wait = min(wait, l.due.Sub(now))
	}
	if len(d.queue) > 0 {
		wait = min(wait, again)
	}
	return max(wait, time.Millisecond)
}

// refuse ends all waiting at an engine that takes nothing new. What becomes of the loads on their way is not looked at any more.
func (d *desk) refuse(err error) {
	for _, w := range d.queue {
		w.done <- err
	}
	d.queue = nil
	d.fail(err)
	d.known = false
	d.lane.refuse(err)
}

// expire refuses loads that waited too long for the engine to be of use.
func (d *desk) expire() {
	kept := d.queue[:0]
	for _, w := range d.queue {
		if w.left() {
			continue
		}
		if time.Since(w.since) < queueFor {
			kept = append(kept, w)
			continue
		}
		_, idle := d.oldest()
		d.g.Log.Info("load given up", zap.String("target", d.id), zap.String("adapter", w.Adapter), zap.Bool("known", d.known),
			zap.Int("held", len(d.held)), zap.Int("pending", len(d.pending)), zap.Int("leaving", len(d.leaving)),
			zap.Int("queue", len(d.queue)), zap.Duration("idle", idle), zap.Duration("cold", d.cold))
		w.done <- merry.Prepend(want.ErrFailed, "the engine cannot load now")
	}
	d.queue = kept
}

func (d *desk) pool(t target.Target) pool.Pool {
	return d.g.View().Rules.Pools[t.Group]
}
