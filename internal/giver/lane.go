package giver

import (
	"context"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/fair"
	"damaskreach/internal/jitter"
	"damaskreach/internal/pace"
	"damaskreach/internal/ration"
	"damaskreach/internal/spent"
	"damaskreach/internal/tempo"
	"damaskreach/internal/want"
)

// slotWait is how long a prompt is taken to wait for a slot where all are taken, for those who compare engines.
const slotWait = 200 * time.Millisecond

// lane lets prompts go to one engine in turn. It has a goroutine of its own: an order that gets no answer must not hold up
// requests for what the engine holds already.
type lane struct {
	id     string // of the engine
	wake   chan struct{}
	ration *ration.Ration
	jitter *jitter.Jitter  // of all engines whose turns this host grants
	ctx    context.Context // ends with the lane
	end    context.CancelFunc

	mu      sync.Mutex
	waiting []waiter
	pace    pace.Pace
	hosts   map[string]*share
	busy    time.Time // when it was last known to run requests
	tempo   tempo.Tempo
	shares  fair.Fair // of what the engine has read
	slots   int       // requests that the engine runs at once; 0 means unknown
}

func newLane(parent context.Context, id string, ration *ration.Ration, jitter *jitter.Jitter) *lane {
	ctx, end := context.WithCancel(parent)
	l := &lane{id: id, ctx: ctx, end: end, ration: ration, jitter: jitter, wake: make(chan struct{}, 1), hosts: map[string]*share{}}
	go l.run()
	return l
}

func (l *lane) run() {
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		select {
		case <-l.ctx.Done():
			l.refuse(want.ErrElsewhere)
			return
		case <-timer.C:
		case <-l.wake:
		}
		timer.Reset(l.send())
	}
}

// add takes a waiter whose adapter is loaded: where it has a prompt to send, that waits for its turn.
func (l *lane) add(w waiter) {
	if w.Cost == 0 {
		w.done <- nil
		return
	}
	l.mu.Lock()
	l.waiting = append(l.waiting, w)
	l.mu.Unlock()
	l.nudge()
}

func (l *lane) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// send grants the prompts that may go now, and returns when the next one may. Where more is asked for than the engine can
// read, those that can be on time go first: in order of asking, all would wait until they are late. Those whose turn would
// come too late for their callers are refused at once, so that they can come back while there is time.
func (l *lane) send() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.waiting = slices.DeleteFunc(l.waiting, waiter.left)
	for l.grantFirst(now) {
	}
	l.order(l.waiting, now)
	kept := l.waiting[:0]
	next := idle
	limit, gap := l.ration.Wait(l.id)
	ahead := max(limit, l.pace.Backlog(now))
	free := l.free()
	for _, w := range l.waiting {
		wait := max(limit, l.pace.Wait(now, w.Cost, l.room(w), w.Tail))
		switch {
		case w.Bound > 0 && (free <= 0 || max(wait, ahead) > w.Bound):
			w.done <- want.NewCrowded(max(wait, ahead) + slotTime(free))
		case w.hopeless(now, ahead):
			w.done <- want.ErrBusy
		default:
			next = min(next, max(wait, time.Millisecond))
			if free <= 0 {
				next = min(next, again)
			}
			kept = append(kept, w)
			ahead += max(gap, l.pace.Takes(w.Cost))
		}
	}
	l.waiting = kept
	return next
}

// grantFirst lets the first of those that wait go, where it may; nothing behind it overtakes it.
func (l *lane) grantFirst(now time.Time) bool {
	if len(l.waiting) == 0 || l.free() <= 0 {
		return false
	}
	at := l.first(now)
	w := l.waiting[at]
	if limit, _ := l.ration.Wait(l.id); limit > 0 || l.pace.Wait(now, w.Cost, l.room(w), w.Tail) > 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, at, at+1)
	l.grant(w, now)
	return true
}

// first returns where the first of those that wait stands. A grant moves its team's clock, and so the order of the others.
func (l *lane) first(now time.Time) int {
	at := 0
	for i := range l.waiting {
		if l.waiting[i].before(l.waiting[at], &l.shares, now) < 0 {
			at = i
		}
	}
	return at
}

// sort puts those that wait in the order in which they go.
func (l *lane) sort(waiting []waiter, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.order(waiting, now)
}

// order does so with the lock held.
func (l *lane) order(waiting []waiter, now time.Time) {
	slices.SortStableFunc(waiting, func(a, b waiter) int { return a.before(b, &l.shares, now) })
}

// grant lets a prompt go.
func (l *lane) grant(w waiter, now time.Time) {
	l.ration.Take(l.id)
	l.pace.Send(now, w.Cost, w.Tail)
	l.shares.Give(w.Team, w.Cost, w.Weight)
	if w.Turn != 0 {
		l.pace.Expect(w.Turn, now, w.Cost, w.Tail)
	}
	s := l.hosts[w.Host]
	if s == nil {
		s = &share{at: now}
		l.hosts[w.Host] = s
	}
	s.granted = append(s.granted, grant{now, w.Adapter})
	w.done <- nil
}

// spent takes that a turn has ended.
func (l *lane) spent(s spent.Spent) {
	l.mu.Lock()
	if !s.Read {
		l.pace.Drop(s.Turn, time.Now())
	} else if took, expected := l.pace.Read(s.Turn, time.Now()); expected > 0 {
		l.jitter.Took(took, expected)
	}
	l.mu.Unlock()
	l.nudge()
}

// room returns how long reading may hold up streams, for a prompt whose streams allow so much.
func (l *lane) room(w waiter) time.Duration {
	return time.Duration(l.jitter.Room() * float64(w.Room))
}

// wait returns how long a prompt would wait that comes now.
func (l *lane) wait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, gap := l.ration.Wait(l.id)
	sum := max(limit, l.pace.Backlog(time.Now()))
	for _, w := range l.waiting {
		sum += max(gap, l.pace.Takes(w.Cost))
	}
	free := l.free()
	if free <= 0 {
		free -= len(l.waiting)
	}
	return sum + slotTime(free)
}

// slotTime returns how long a prompt is taken to wait for a slot where so many are free, or fewer than none.
func slotTime(free int) time.Duration {
	if free > 0 {
		return 0
	}
	return slotWait * time.Duration(1-free)
}

// free returns how many more requests the engine can run at once. Sent beyond that they would wait there, out of reach of
// engines that have room.
func (l *lane) free() int {
	if l.slots <= 0 {
		return len(l.waiting) + 1
	}
	return l.slots - l.count()
}

// resize takes how many requests the engine runs at once.
func (l *lane) resize(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots = slots
}

// refuse ends all waiting.
func (l *lane) refuse(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.waiting {
		w.done <- err
	}
	l.waiting = nil
}
