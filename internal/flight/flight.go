// Package flight counts the requests that are under way at upstreams that are brittle: ones that fall over where they have to turn too many away for want
// of room. Other upstreams queue, and reject, at no more than the cost of a send.
//
// For each upstream one host counts, as for limits (package ration). Hosts tell it what they heard of the upstream and when a request has ended, and newer
// word counts.
package flight

import (
	"sync"
	"sync/atomic"
	"time"

	"damaskreach/internal/notice"
)

const (
	// firstTakes is a guess of how long a request takes until some were measured, leastWait the shortest wait that is told.
	firstTakes = 40 * time.Millisecond
	leastWait  = 10 * time.Millisecond
	// weight is that of the newest request in the mean.
	weight = 0.1
	// awayFor is the time in which rejections count together.
	awayFor = time.Second
	// awayShare is the part of the rejections that an upstream bears within which requests go on: others are on their way.
	awayShare = 0.5
)

// Flight may be used from several goroutines.
type Flight struct {
	clock   func() time.Duration
	brittle atomic.Int64 // upstreams that say so; asked at each request, and mostly there are none

	mu    sync.Mutex
	marks map[string]*mark
}

// mark is what is known of one upstream.
type mark struct {
	most  int           // rejections in a second that it bears; 0 where it is not brittle
	at    time.Duration // when it said so
	under map[uint64]seat
	away  []time.Duration // its rejections of late
	takes time.Duration   // of a request, on average
}

// seat is one request under way.
type seat struct {
	since, until time.Duration // it is forgotten then, whoever sent it
}

// NewFlight returns one that knows of no brittle upstream. The clock goes on through suspensions.
func NewFlight(clock func() time.Duration) *Flight {
	return &Flight{clock: clock, marks: map[string]*mark{}}
}

// Hear takes what an upstream said in an answer that came just now. It reports whether it is brittle from now on, or is not any more.
func (f *Flight) Hear(id string, n notice.Notice) (changed bool) {
	return f.Told(id, n.Brittle, 0)
}

// Told takes what another host has heard of an upstream: how many rejections in a second it bears, 0 where it is not brittle, and how long ago.
func (f *Flight) Told(id string, most int, age time.Duration) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, m := f.clock(), f.marks[id]
	if m == nil && most == 0 {
		return false
	}
	if m == nil {
		m = &mark{at: now - age, under: map[uint64]seat{}, takes: firstTakes}
		f.marks[id] = m
	}
	if now-age < m.at {
		return false
	}
	changed = (m.most > 0) != (most > 0)
	switch {
	case changed && most > 0:
		f.brittle.Add(1)
	case changed:
		f.brittle.Add(-1)
	}
	m.at, m.most = now-age, most
	return changed
}

// Newest returns what is known of an upstream, to tell another host; ok is false where nothing is.
func (f *Flight) Newest(id string) (most int, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.marks[id]
	if m == nil {
		return 0, 0, false
	}
	return m.most, f.clock() - m.at, true
}

// Brittle reports whether an upstream is brittle.
func (f *Flight) Brittle(id string) bool {
	if f.brittle.Load() == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.marks[id]
	return m != nil && m.most > 0
}

// Take counts a request that goes to a brittle upstream with so many slots, and lasts so long at most. Where it may not go, wait is how long it will be until
// one may.
func (f *Flight) Take(id string, turn uint64, slots int, lasts time.Duration) (wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.marks[id]
	if m == nil || m.most == 0 {
		return 0
	}
	now := f.clock()
	m.expire(now)
	if away := len(m.away); float64(away) >= max(1, awayShare*float64(m.most)) {
		return m.away[0] + awayFor - now
	}
	if len(m.under) >= max(1, slots) {
		return max(leastWait, m.takes/2)
	}
	m.under[turn] = seat{since: now, until: now + lasts}
	return 0
}

// expire forgets requests whose hosts did not tell of their ends, and old rejections.
func (m *mark) expire(now time.Duration) {
	for turn, s := range m.under {
		if now >= s.until {
			delete(m.under, turn)
		}
	}
	for len(m.away) > 0 && now-m.away[0] >= awayFor {
		m.away = m.away[1:]
	}
}

// Ended notes the end of a request; rejected says that the upstream turned it away.
func (f *Flight) Ended(id string, turn uint64, rejected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.marks[id]
	if m == nil {
		return
	}
	now := f.clock()
	s, counted := m.under[turn]
	delete(m.under, turn)
	switch {
	case rejected && m.most > 0:
		m.away = append(m.away, now)
	case counted:
		m.takes += time.Duration(weight * float64(now-s.since-m.takes))
	}
}

// Forget drops upstreams that are gone.
func (f *Flight) Forget(gone func(id string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, m := range f.marks {
		if !gone(id) {
			continue
		}
		if m.most > 0 {
			f.brittle.Add(-1)
		}
		delete(f.marks, id)
	}
}
