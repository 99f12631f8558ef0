package giver

import (
	"slices"
	"time"

	"damaskreach/internal/usage"
)

const (
	// toldFor is how long a host's count of its requests is believed.
	toldFor = 4 * time.Second
	// grantWay is how long a grant may be on its way before its host counts the request.
	grantWay = 100 * time.Millisecond
	// idleTold is how long an engine is named that has become idle: longer than other hosts believe its last count.
	idleTold = 5 * time.Second
)

// share is what one host has at the engine.
type share struct {
	under    int      // requests under way, as it told
	adapters []string // that they use
	at       time.Time
	granted  []grant // since then
}

// grant is a prompt that was let go.
type grant struct {
	at      time.Time
	adapter string
}

// told takes how many requests a host had under way at the engine at some moment, which adapters they use, and how fast they went. Its word comes by
// way of relays, and what it was granted shortly before that moment or after it is not in it: forgotten, the engine would be sent
// more than it can run, and an adapter unloaded that a request is about to use.
func (l *lane) told(u usage.Usage, at time.Time) {
	l.mu.Lock()
	l.tempo.Take(u.Host, time.Duration(u.Event)*time.Microsecond, u.Events, at)
	s := l.hosts[u.Host]
	if s == nil {
		s = &share{}
		l.hosts[u.Host] = s
	}
	if at.After(s.at) {
		s.under, s.adapters, s.at = u.Running, u.Adapters, at
		s.granted = slices.DeleteFunc(s.granted, func(g grant) bool { return at.Sub(g.at) > grantWay })
	}
	l.mu.Unlock()
	l.nudge()
}

// event returns the usual time between two events of a stream at the engine; 0 where it is unknown.
func (l *lane) event() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tempo.Event(time.Now())
}

// recall takes what another host found of that before.
func (l *lane) recall(event time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tempo.Begin(event, time.Now())
}

// renew forgets how fast the engine was: it has begun anew.
func (l *lane) renew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tempo.Reset()
}

// running returns how many requests run at the engine, and whether others are to know: not where none has for long.
func (l *lane) running() (n int, tell bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = l.count()
	now := time.Now()
	if n > 0 {
		l.busy = now
	}
	return n, now.Sub(l.busy) <= idleTold
}

// count adds what hosts told and what was granted to them since; a host that has told nothing for long has nothing.
func (l *lane) count() int {
	sum := 0
	l.expire(time.Now())
	for _, s := range l.hosts {
		sum += s.under + len(s.granted)
	}
	return sum
}

// expire drops what is too old to be believed. A host that had nothing to tell for long may have been granted a turn just now.
func (l *lane) expire(now time.Time) {
	for host, s := range l.hosts {
		s.granted = slices.DeleteFunc(s.granted, func(g grant) bool { return now.Sub(g.at) > toldFor })
		if now.Sub(s.at) <= toldFor {
			continue
		}
		s.under, s.adapters = 0, nil
		if len(s.granted) == 0 {
			delete(l.hosts, host)
		}
	}
}

// uses returns the adapters that requests use, are about to, or wait for.
func (l *lane) uses() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := map[string]bool{}
	for _, w := range l.waiting {
		used[w.Adapter] = true
	}
	l.expire(time.Now())
	for _, s := range l.hosts {
		for _, a := range s.adapters {
			used[a] = true
		}
		for _, g := range s.granted {
			used[g.adapter] = true
		}
	}
	return used
}
