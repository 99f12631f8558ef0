package loader

import (
	"context"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/fair"
	"damaskreach/internal/intent"
	"damaskreach/internal/jitter"
	"damaskreach/internal/pace"
	"damaskreach/internal/ration"
	"damaskreach/internal/spent"
	"damaskreach/internal/tempo"
)

// slotWait is the assumed wait for one request slot when all are taken, used to compare engines.
const slotWait = 200 * time.Millisecond

// promptQueue grants turns, the permission to send one prompt each, at one engine. It has its own goroutine, so that an
// unanswered order does not delay requests for adapters that the engine holds.
type promptQueue struct {
	id     string // of the engine
	wake   chan struct{}
	ration *ration.Ration
	jitter *jitter.Jitter  // shared by all engines for which this host grants turns
	ctx    context.Context // ends with the queue
	cancel context.CancelFunc

	mu          sync.Mutex
	waiting     []waiter
	pace        pace.Pace
	usageByHost map[string]*hostUsage
	lastBusy    time.Time // when requests were last known to run
	tempo       tempo.Tempo
	teamShares  fair.Fair // of the engine's reading time
	slots       int       // requests that the engine runs concurrently; 0 means unknown
}

func newPromptQueue(parent context.Context, id string, ration *ration.Ration, jitter *jitter.Jitter) *promptQueue {
	ctx, cancel := context.WithCancel(parent)
	q := &promptQueue{
		id: id, ctx: ctx, cancel: cancel, ration: ration, jitter: jitter, wake: make(chan struct{}, 1),
		usageByHost: map[string]*hostUsage{},
	}
	go q.run()
	return q
}

func (q *promptQueue) run() {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-q.ctx.Done():
			q.refuseAll(intent.ErrNotOwner)
			return
		case <-timer.C:
		case <-q.wake:
		}
		timer.Reset(q.dispatch())
	}
}

// add queues a waiter whose adapter is loaded; one without a prompt to send is done at once.
func (q *promptQueue) add(w waiter) {
	if w.PromptCost == 0 {
		w.done <- nil
		return
	}
	q.mu.Lock()
	q.waiting = append(q.waiting, w)
	q.mu.Unlock()
	q.signal()
}

func (q *promptQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// dispatch grants the turns that are due and returns the time until the next one. Under overload, requests that can be on time go
// first, since in order of arrival all would be late. Those whose turn would come too late for their callers are refused at
// once, so that they can retry in time.
func (q *promptQueue) dispatch() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.waiting = slices.DeleteFunc(q.waiting, waiter.isCanceled)
	for q.grantNext(now) {
	}
	q.sortLocked(q.waiting, now)
	kept := q.waiting[:0]
	next := idleInterval
	limit, gap := q.ration.Wait(q.id)
	ahead := max(limit, q.pace.Backlog(now))
	free := q.freeSlots()
	for _, w := range q.waiting {
		wait := max(limit, q.pace.Wait(now, w.PromptCost, q.allowedDelay(w), w.PauseTail))
		switch {
		case w.MaxPromptWait > 0 && (free <= 0 || max(wait, ahead) > w.MaxPromptWait):
			w.done <- intent.NewPromptQueueFull(max(wait, ahead) + expectedSlotWait(free))
		case w.exceedsLimit(now, ahead):
			w.done <- intent.ErrLoadQueueFull
		default:
			next = min(next, max(wait, time.Millisecond))
			if free <= 0 {
				next = min(next, pollInterval)
			}
			kept = append(kept, w)
			ahead += max(gap, q.pace.Spacing(w.PromptCost))
		}
	}
	q.waiting = kept
	return next
}

// grantNext grants a turn to the first waiter if it is due; no waiter overtakes it.
func (q *promptQueue) grantNext(now time.Time) bool {
	if len(q.waiting) == 0 || q.freeSlots() <= 0 {
		return false
	}
	index := q.nextIndex(now)
	w := q.waiting[index]
	if limit, _ := q.ration.Wait(q.id); limit > 0 || q.pace.Wait(now, w.PromptCost, q.allowedDelay(w), w.PauseTail) > 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, index, index+1)
	q.grant(w, now)
	return true
}

// nextIndex returns the index of the first waiter. Each grant changes the usage of its team, and so the order of the others.
func (q *promptQueue) nextIndex(now time.Time) int {
	index := 0
	for i := range q.waiting {
		if q.waiting[i].compare(q.waiting[index], &q.teamShares, now) < 0 {
			index = i
		}
	}
	return index
}

// sortWaiters sorts waiters by the order in which they are served.
func (q *promptQueue) sortWaiters(waiting []waiter, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sortLocked(waiting, now)
}

// sortLocked is sortWaiters with q.mu held.
func (q *promptQueue) sortLocked(waiting []waiter, now time.Time) {
	slices.SortStableFunc(waiting, func(a, b waiter) int { return a.compare(b, &q.teamShares, now) })
}

func (q *promptQueue) grant(w waiter, now time.Time) {
	q.ration.Take(q.id)
	q.pace.Send(now, w.PromptCost, w.PauseTail)
	q.teamShares.Charge(w.Team, w.PromptCost, w.TeamWeight)
	if w.Turn != 0 {
		q.pace.Expect(w.Turn, now, w.PromptCost, w.PauseTail)
	}
	s := q.usageByHost[w.Requester]
	if s == nil {
		s = &hostUsage{countedAt: now}
		q.usageByHost[w.Requester] = s
	}
	s.grants = append(s.grants, grant{now, w.Adapter})
	w.done <- nil
}

// endTurn records that a turn has ended.
func (q *promptQueue) endTurn(s spent.Spent) {
	q.mu.Lock()
	if !s.Read {
		q.pace.Drop(s.Turn, time.Now())
	} else if took, expected := q.pace.MarkRead(s.Turn, time.Now()); expected > 0 {
		q.jitter.AddSample(took, expected)
	}
	q.mu.Unlock()
	q.signal()
}

// allowedDelay returns how long reading prompts may delay streams, given the delay that w allows.
func (q *promptQueue) allowedDelay(w waiter) time.Duration {
	return time.Duration(q.jitter.Room() * float64(w.StallBudget))
}

// expectedWait returns the expected wait of a new prompt.
func (q *promptQueue) expectedWait() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit, gap := q.ration.Wait(q.id)
	sum := max(limit, q.pace.Backlog(time.Now()))
	for _, w := range q.waiting {
		sum += max(gap, q.pace.Spacing(w.PromptCost))
	}
	free := q.freeSlots()
	if free <= 0 {
		free -= len(q.waiting)
	}
	return sum + expectedSlotWait(free)
}

// expectedSlotWait returns the expected wait for a request slot; free is negative if more requests run or wait than there are slots.
func expectedSlotWait(free int) time.Duration {
	if free > 0 {
		return 0
	}
	return slotWait * time.Duration(1-free)
}

// freeSlots returns how many more requests the engine can run concurrently. Beyond that they would wait inside the engine and
// could not be sent to others that have room.
func (q *promptQueue) freeSlots() int {
	if q.slots <= 0 {
		return len(q.waiting) + 1
	}
	return q.slots - q.countRunning()
}

// setSlots sets how many requests the engine runs concurrently.
func (q *promptQueue) setSlots(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
}

// refuseAll fails all waiters with err.
func (q *promptQueue) refuseAll(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, w := range q.waiting {
		w.done <- err
	}
	q.waiting = nil
}
