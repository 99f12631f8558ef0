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
	"damaskreach/internal/target"
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
	clock func() time.Duration
	some  atomic.Bool // an upstream has said so; asked at each request, and mostly none has

	mu     sync.Mutex
	marks  map[string]*mark
	groups map[string]word // newest of any upstream of a group that is brittle
}

// word is that an upstream is brittle, or is not.
type word struct {
	most int           // rejections in a second that it bears; 0 where it is not brittle
	at   time.Duration // when it said so
}

// mark is what is known of one upstream.
type mark struct {
	word
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
	return &Flight{clock: clock, marks: map[string]*mark{}, groups: map[string]word{}}
}

// Hear takes what an upstream said in an answer that came just now. It reports whether it is brittle from now on, or is not any more.
func (f *Flight) Hear(t target.Target, n notice.Notice) (changed bool) {
	return f.Told(t, n.Brittle, 0)
}

// Told takes what another host has heard of an upstream: how many rejections in a second it bears, 0 where it is not brittle, and how long ago.
func (f *Flight) Told(t target.Target, most int, age time.Duration) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if most == 0 && len(f.groups) == 0 {
		return false
	}
	told, m := word{most, f.clock() - age}, f.of(t)
	if told.at < m.at {
		return false
	}
	before := f.newest(t)
	m.word = told
	if group := f.groups[t.Group]; most > 0 && told.at >= group.at {
		f.groups[t.Group] = told
	}
	f.some.Store(true)
	return (before.most > 0) != (most > 0)
}

// of returns the mark of an upstream, a new one where there is none. It needs the lock.
func (f *Flight) of(t target.Target) *mark {
	m := f.marks[t.ID]
	if m == nil {
		m = &mark{under: map[uint64]seat{}, takes: firstTakes}
		f.marks[t.ID] = m
	}
	return m
}

// newest returns the newest word of an upstream. Those of a group are brittle together: one that has said nothing since another one did is taken to be, too,
// or each host would send it requests that nobody counts until it has answered one of them. It needs the lock.
func (f *Flight) newest(t target.Target) word {
	w := f.groups[t.Group]
	if m := f.marks[t.ID]; m != nil && m.at >= w.at {
		w = m.word
	}
	return w
}

// Newest returns what is known of an upstream, to tell another host; ok is false where nothing is.
func (f *Flight) Newest(t target.Target) (most int, age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.newest(t)
	return w.most, f.clock() - w.at, w.at > 0
}

// Brittle reports whether an upstream is brittle.
func (f *Flight) Brittle(t target.Target) bool {
	if !f.some.Load() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest(t).most > 0
}

// Take counts a request that goes to a brittle upstream, and lasts so long at most. Where it may not go, wait is how long it will be until
// one may.
func (f *Flight) Take(t target.Target, turn uint64, lasts time.Duration) (wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := f.newest(t).most
	if most == 0 {
		return 0
	}
	now, m := f.clock(), f.of(t)
	m.expire(now)
	if away := len(m.away); float64(away) >= max(1, awayShare*float64(most)) {
		return m.away[0] + awayFor - now
	}
	if len(m.under) >= max(1, t.Slots) {
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
	case rejected:
		m.away = append(m.away, now)
	case counted:
		m.takes += time.Duration(weight * float64(now-s.since-m.takes))
	}
}

// Forget drops upstreams that are gone.
func (f *Flight) Forget(gone func(id string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.marks {
		if gone(id) {
			delete(f.marks, id)
		}
	}
}
