package proxy

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
	// silenceGaps is for how many of a route's longest pauses a stream may be silent before another engine is looked for, and minSilence the
	// least time for that. Engines pause for other long prompts; after so many pauses the connection may be lost or the engine dead.
	silenceGaps = 4
	minSilence  = 1200 * time.Millisecond
	// placementInterval is the pause between two attempts to find an engine.
	placementInterval = 250 * time.Millisecond
)

// placement is where a request is sent next.
type placement struct {
	target  target.Target
	version int // of the adapter that the target must have; 0 for any
	turn    turn
}

// mover watches one stream and finds it another engine when it has fallen silent. The stream is cut only once it has a turn
// there: the engine may only be slow, and then the caller still gets the rest from it.
type mover struct {
	maxSilence time.Duration
	find       func(ctx context.Context) (placement, bool)
	release    func(unused placement)
	cut        func()

	mu           sync.Mutex
	timer        *time.Timer
	cancelSearch context.CancelFunc // ends the current search; nil if there is none
	next         *placement         // set when the stream is cut
	lastEventAt  time.Time          // when the last event came, or the wait for the next one began
	begun        bool               // an event has come
	ended        bool
}

// watchSilence returns a mover for a stream from t.
func (p *Proxy) watchSilence(ctx context.Context, j *job, t target.Target, r resp.Resp) *mover {
	m := &mover{maxSilence: max(minSilence, silenceGaps*j.route.Gap), cut: r.Cut}
	if !p.movable(j) {
		return m
	}
	template := *j
	template.w, template.tried, template.turn = nil, maps.Clone(j.tried), turn{}
	template.recordFailure(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "%s paused for too long", t.ID))
	m.find = func(ctx context.Context) (placement, bool) {
		if !p.Spare.CanRetry(template.group) {
			return placement{}, false
		}
		attempt := template
		attempt.tried = maps.Clone(template.tried)
		if m.hasBegun() {
			attempt.begun, attempt.build = true, t.Build
		}
		next, refusal := p.findPlacement(ctx, &attempt)
		if refusal != nil || ctx.Err() != nil {
			p.releaseTurn(&attempt.turn, false)
			return placement{}, false
		}
		return next, true
	}
	m.release = func(unused placement) { p.releaseTurn(&unused.turn, false) }
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(m.maxSilence, func() { m.search(ctx) })
	return m
}

// movable reports whether a stream in progress may continue at another engine.
func (p *Proxy) movable(j *job) bool {
	return j.mayRunAgain() && j.sends < maxSends && p.Guard.Blocked(j.suspect(), time.Now()) == ""
}

// search finds another engine and cuts the stream off, unless the stream resumes by itself first.
func (m *mover) search(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	m.mu.Lock()
	if m.ended || m.cancelSearch != nil || time.Since(m.lastEventAt) < m.maxSilence {
		m.mu.Unlock()
		return
	}
	m.cancelSearch = cancel
	m.mu.Unlock()
	for ctx.Err() == nil {
		next, ok := m.find(ctx)
		if ok && m.moveTo(ctx, next) {
			return
		}
		if ok {
			m.release(next)
		}
		ticker.Sleep(ctx, placementInterval)
	}
}

// moveTo cuts the stream off, to continue at next. It reports false if the stream is no longer silent.
func (m *mover) moveTo(ctx context.Context, next placement) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	m.next = &next
	m.cut()
	return true
}

// startWaiting records that the next event is awaited. Time spent writing to a caller that reads slowly doesn't count as
// silence of the engine.
func (m *mover) startWaiting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next != nil {
		return
	}
	m.lastEventAt = time.Now()
	if m.timer != nil {
		m.timer.Reset(m.maxSilence)
	}
}

// eventReceived records that the stream goes on.
func (m *mover) eventReceived() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next != nil {
		return
	}
	m.stopSearch()
	m.begun, m.lastEventAt = true, time.Now()
	if m.timer != nil {
		m.timer.Stop()
	}
}

func (m *mover) hasBegun() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begun
}

// silent reports whether the stream has been silent for long enough to be moved, whether or not it may be.
func (m *mover) silent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastEventAt) >= m.maxSilence
}

// end ends the watch. It returns where the stream continues, or nil if the mover did not cut it.
func (m *mover) end() *placement {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	if m.timer != nil {
		m.timer.Stop()
	}
	m.stopSearch()
	return m.next
}

// stopSearch ends the current search, if any. The caller must hold the lock.
func (m *mover) stopSearch() {
	if m.cancelSearch != nil {
		m.cancelSearch()
		m.cancelSearch = nil
	}
}
