// Package flight limits the requests in flight at brittle upstreams: those that crash if they must reject too many requests
// at once. Other upstreams queue or reject at little cost.
//
// One host counts for each upstream, as for rate limits (package ration). The others report to it the brittleness they saw in
// answers and the end of each request, and the newest report wins.
package flight

import (
	"sync"
	"sync/atomic"
	"time"

	"damaskreach/internal/notice"
	"damaskreach/internal/target"
)

const (
	// initialDuration is the assumed duration of a request until some were measured; minWait is the shortest wait returned.
	initialDuration = 40 * time.Millisecond
	minWait         = 10 * time.Millisecond
	// meanWeight is the weight of the newest request in the mean duration.
	meanWeight = 0.1
	// rejectionWindow is the time over which rejections are counted.
	rejectionWindow = time.Second
	// rejectionShare is the share of the tolerated rejections up to which requests are sent: those in flight may be rejected too.
	rejectionShare = 0.5
)

// Flight counts requests in flight. It is safe for concurrent use.
type Flight struct {
	clock       func() time.Duration
	anyReported atomic.Bool // an upstream has reported brittleness; checked for each request and mostly false

	mu        sync.Mutex
	upstreams map[string]*upstreamState
	groups    map[string]report // newest report of any brittle upstream of a group
}

// report is the brittleness of an upstream at a time.
type report struct {
	maxRejections int // rejections a second that it tolerates; 0 if not brittle
	reportedAt    time.Duration
}

// upstreamState is what is known about one upstream.
type upstreamState struct {
	report
	inFlight     map[uint64]slot
	rejections   []time.Duration // times of recent rejections
	meanDuration time.Duration   // of a request
}

// slot is one request in flight.
type slot struct {
	startedAt, expiresAt time.Duration // dropped at expiresAt if not released
}

// NewFlight returns a Flight without brittle upstreams. The clock must also advance while the machine is suspended.
func NewFlight(clock func() time.Duration) *Flight {
	return &Flight{clock: clock, upstreams: map[string]*upstreamState{}, groups: map[string]report{}}
}

// Observe records the notice in an answer that has just arrived and reports whether the upstream's brittleness changed.
func (f *Flight) Observe(t target.Target, n notice.Notice) (changed bool) {
	return f.Update(t, n.Brittle, 0)
}

// Update records a report from another host: the rejections a second that an upstream tolerates, 0 if not brittle, and its age.
func (f *Flight) Update(t target.Target, maxRejections int, age time.Duration) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if maxRejections == 0 && len(f.groups) == 0 {
		return false
	}
	newReport, m := report{maxRejections, f.clock() - age}, f.stateOf(t)
	if newReport.reportedAt < m.reportedAt {
		return false
	}
	before := f.latest(t)
	m.report = newReport
	if group := f.groups[t.Group]; maxRejections > 0 && newReport.reportedAt >= group.reportedAt {
		f.groups[t.Group] = newReport
	}
	f.anyReported.Store(true)
	return (before.maxRejections > 0) != (maxRejections > 0)
}

// stateOf returns the state of an upstream, created if missing. The caller holds the lock.
func (f *Flight) stateOf(t target.Target) *upstreamState {
	m := f.upstreams[t.ID]
	if m == nil {
		m = &upstreamState{inFlight: map[uint64]slot{}, meanDuration: initialDuration}
		f.upstreams[t.ID] = m
	}
	return m
}

// latest returns the newest report about an upstream or its group: one without a newer report than its group counts as
// brittle too, or each host would send it uncounted requests until its first answer. The caller holds the lock.
func (f *Flight) latest(t target.Target) report {
	w := f.groups[t.Group]
	if m := f.upstreams[t.ID]; m != nil && m.reportedAt >= w.reportedAt {
		w = m.report
	}
	return w
}

// Latest returns the newest report about an upstream, to send to another host; ok is false if there is none.
func (f *Flight) Latest(t target.Target) (maxRejections int, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.latest(t)
	return w.maxRejections, f.clock() - w.reportedAt, w.reportedAt > 0
}

// Brittle reports whether an upstream is brittle.
func (f *Flight) Brittle(t target.Target) bool {
	if !f.anyReported.Load() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latest(t).maxRejections > 0
}

// Acquire counts a request that is sent to a brittle upstream and takes at most maxDuration. If none may be sent now, wait is
// the time until one may.
func (f *Flight) Acquire(t target.Target, turn uint64, maxDuration time.Duration) (wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	maxRejections := f.latest(t).maxRejections
	if maxRejections == 0 {
		return 0
	}
	now, m := f.clock(), f.stateOf(t)
	m.expire(now)
	if rejections := len(m.rejections); float64(rejections) >= max(1, rejectionShare*float64(maxRejections)) {
		return m.rejections[0] + rejectionWindow - now
	}
	if len(m.inFlight) >= max(1, t.Slots) {
		return max(minWait, m.meanDuration/2)
	}
	m.inFlight[turn] = slot{startedAt: now, expiresAt: now + maxDuration}
	return 0
}

// expire drops requests that were not released in time, and old rejections.
func (m *upstreamState) expire(now time.Duration) {
	for turn, s := range m.inFlight {
		if now >= s.expiresAt {
			delete(m.inFlight, turn)
		}
	}
	for len(m.rejections) > 0 && now-m.rejections[0] >= rejectionWindow {
		m.rejections = m.rejections[1:]
	}
}

// Release records the end of a request; rejected says that the upstream rejected it.
func (f *Flight) Release(id string, turn uint64, rejected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.upstreams[id]
	if m == nil {
		return
	}
	now := f.clock()
	s, counted := m.inFlight[turn]
	delete(m.inFlight, turn)
	switch {
	case rejected:
		m.rejections = append(m.rejections, now)
	case counted:
		m.meanDuration += time.Duration(meanWeight * float64(now-s.startedAt-m.meanDuration))
	}
}

// Forget drops upstreams that are gone.
func (f *Flight) Forget(gone func(id string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.upstreams {
		if gone(id) {
			delete(f.upstreams, id)
		}
	}
}
