// Package flow limits how many adapter loads a host has in flight, by how long loads take.
//
// A weight store serves a few loads at full speed; with more in flight each takes longer in proportion, so that nothing
// is gained and all finish late. The symptom is loads that take three times their usual time. The store's capacity is
// unknown and shared by all hosts, so each host adapts a window as TCP does: it grows while loads take their usual
// time, and shrinks when they become slow.
package flow

import (
	"sync"
	"time"
)

const (
	// minWindow and maxWindow bound the window, in loads.
	minWindow = 1
	maxWindow = 64
	// initialWindow applies until loads were measured; it lets each of a handful of hosts run some loads at once.
	initialWindow = 4
	// slowFactor is the multiple of the baseline from which a load counts as slow, since too many run at once.
	slowFactor = 1.8
	// windowDecrease is the factor applied to the window after a slow load.
	windowDecrease = 0.9
	// baselineTTL is how long the shortest load is used as the baseline; the store may have become slower for good.
	baselineTTL = 20 * time.Second
	// loadTimeout is when an unfinished load stops counting: its engine is gone.
	loadTimeout = 5 * time.Second
	// requestTTL is how long a load that was refused its begin counts as waiting: a few times the interval at which engines retry.
	requestTTL = 80 * time.Millisecond
)

// Flow is the adaptive window of one host. It is safe for concurrent use.
type Flow struct {
	mu          sync.Mutex
	window      float64
	inFlight    map[int64]time.Time // start times by load ID
	lastID      int64
	baseline    time.Duration
	baselineAt  time.Time // when baseline was measured
	decreasedAt time.Time
	requests    map[string]request // waiting loads, by engine
}

// request is a load that an engine wants to begin.
type request struct {
	late        bool      // the deadline had passed at the time of the request
	deadline    time.Time // latest begin that is in time for a caller
	requestedAt time.Time
}

// moreUrgentThan reports whether a is to begin before b.
func (a request) moreUrgentThan(b request) bool {
	if a.late != b.late {
		return b.late
	}
	return a.deadline.Before(b.deadline)
}

// NewFlow returns a Flow without measurements.
func NewFlow() *Flow {
	return &Flow{window: initialWindow, inFlight: map[int64]time.Time{}, requests: map[string]request{}}
}

// Begin starts a load at an engine if the window allows it. The deadline is the latest begin in time for the load's request. Loads
// that can still be in time begin first, by deadline; in order of arrival a burst would also delay all loads behind it past their
// deadlines. The caller calls end once the load ends; counts says that it came from the store and succeeded.
func (f *Flow) Begin(engine string, deadline, now time.Time) (end func(now time.Time, counts bool), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, begunAt := range f.inFlight {
		if now.Sub(begunAt) > loadTimeout {
			delete(f.inFlight, id)
		}
	}
	own := request{late: deadline.Before(now), deadline: deadline, requestedAt: now}
	f.requests[engine] = own
	if float64(len(f.inFlight)+1) > max(minWindow, f.window) || f.hasMoreUrgent(engine, own) {
		return nil, false
	}
	delete(f.requests, engine)
	f.lastID++
	id := f.lastID
	f.inFlight[id] = now
	return func(at time.Time, counts bool) { f.end(id, now, at, counts) }, true
}

// hasMoreUrgent reports whether another engine waits for a more urgent load.
func (f *Flow) hasMoreUrgent(engine string, own request) bool {
	for other, a := range f.requests {
		if own.requestedAt.Sub(a.requestedAt) > requestTTL {
			delete(f.requests, other)
			continue
		}
		if other != engine && a.moreUrgentThan(own) {
			return true
		}
	}
	return false
}

// HasSpare reports whether less than half of the window is in use, enough for a load that no request waits for.
func (f *Flow) HasSpare(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	inFlight := 0
	for _, begunAt := range f.inFlight {
		if now.Sub(begunAt) <= loadTimeout {
			inFlight++
		}
	}
	return float64(2*inFlight) < f.window
}

func (f *Flow) end(id int64, begunAt, now time.Time, counts bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	full := float64(len(f.inFlight)+1) > f.window
	delete(f.inFlight, id)
	if !counts {
		return
	}
	took := now.Sub(begunAt)
	if f.baseline == 0 || took < f.baseline || now.Sub(f.baselineAt) > baselineTTL {
		f.baseline, f.baselineAt = took, now
	}
	switch {
	case float64(took) > slowFactor*float64(f.baseline):
		if now.Sub(f.decreasedAt) > f.baseline {
			f.window = max(minWindow, windowDecrease*f.window)
			f.decreasedAt = now
		}
	case full:
		f.window = min(maxWindow, f.window+1/f.window)
	}
}

// Baseline returns how long an undelayed load takes; 0 before one was measured.
func (f *Flow) Baseline() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.baseline
}
