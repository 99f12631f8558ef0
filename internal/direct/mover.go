package direct

import (
	"context"
	"maps"
	"sync"
	"time"

	"damaskreach/internal/resp"
	"damaskreach/internal/target"
	"damaskreach/internal/ticker"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	// mostGap is how many of a route's longest pauses a stream may fall silent before another engine is looked for, and leastGap bounds the
	// same from below. Engines pause for long prompts of others; after so many the connection may be lost or the engine dead.
	mostGap  = 4
	leastGap = 1200 * time.Millisecond
	// moveAgain is the pause between two looks for another engine.
	moveAgain = 250 * time.Millisecond
)

// choice is where a request goes next.
type choice struct {
	target  target.Target
	version int // of the adapter that must be there; 0 for any
	turn    turn
}

// mover watches one stream and finds it another engine when it has fallen silent. The stream is cut only once it has its place there: the
// engine may only be slow, and what it makes is then still the caller's.
type mover struct {
	gap  time.Duration
	find func(ctx context.Context) (choice, bool)
	drop func(unused choice)
	cut  func()

	mu     sync.Mutex
	timer  *time.Timer
	search context.CancelFunc // ends the look under way; nil where there is none
	next   *choice            // set once the stream was cut
	last   time.Time          // when the stream was last heard
	ended  bool
}

// watchSilence returns the mover of a stream that runs at t.
func (x *Direct) watchSilence(ctx context.Context, j *job, t target.Target, r resp.Resp) *mover {
	m := &mover{gap: max(leastGap, mostGap*j.route.Gap), cut: r.Cut}
	if !x.movable(j) {
		return m
	}
	scout := *j
	scout.w, scout.tried, scout.turn = nil, maps.Clone(j.tried), turn{}
	scout.fail(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "%s paused for too long", t.ID))
	m.find = func(ctx context.Context) (choice, bool) {
		if !x.Spare.May(scout.group) {
			return choice{}, false
		}
		one := scout
		one.tried = maps.Clone(scout.tried)
		next, refusal := x.find(ctx, &one)
		if refusal != nil || ctx.Err() != nil {
			x.release(&one.turn, false)
			return choice{}, false
		}
		return next, true
	}
	m.drop = func(unused choice) { x.release(&unused.turn, false) }
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(m.gap, func() { m.look(ctx) })
	return m
}

// movable reports whether a stream under way may go on at another engine.
func (x *Direct) movable(j *job) bool {
	return j.again() && j.sends < mostSends && !x.Blame.Barred(j.print, time.Now())
}

// look finds another engine and cuts the stream off, unless it goes on by itself meanwhile.
func (m *mover) look(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	m.mu.Lock()
	if m.ended || m.search != nil || time.Since(m.last) < m.gap {
		m.mu.Unlock()
		return
	}
	m.search = cancel
	m.mu.Unlock()
	for ctx.Err() == nil {
		next, ok := m.find(ctx)
		if ok && m.take(ctx, next) {
			return
		}
		if ok {
			m.drop(next)
		}
		ticker.Sleep(ctx, moveAgain)
	}
}

// take cuts the stream off, which goes on at next; it reports false where it is not silent any more.
func (m *mover) take(ctx context.Context, next choice) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	m.next = &next
	m.cut()
	return true
}

// waits notes that the next event is waited for. Time in which an event goes to a caller who reads slowly is no silence of the engine.
func (m *mover) waits() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next != nil {
		return
	}
	m.last = time.Now()
	if m.timer != nil {
		m.timer.Reset(m.gap)
	}
}

// heard notes that the stream goes on.
func (m *mover) heard() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next != nil {
		return
	}
	m.stop()
	m.last = time.Now()
	if m.timer != nil {
		m.timer.Stop()
	}
}

// silent reports whether no event has come for so long that another engine is looked for, where there may be one.
func (m *mover) silent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.last) >= m.gap
}

// end ends the watch and returns where the stream goes on; nil where it was not cut here.
func (m *mover) end() *choice {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	if m.timer != nil {
		m.timer.Stop()
	}
	m.stop()
	return m.next
}

// stop ends a look under way. It needs the lock.
func (m *mover) stop() {
	if m.search != nil {
		m.search()
		m.search = nil
	}
}
