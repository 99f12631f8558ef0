package uplink

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// idleFor is how long a connection is kept without a request where the upstream names no time. Upstreams close
	// idle connections; a request that crosses the close may have run and cannot be repeated.
	idleFor = 4 * time.Second
	// idleSlack is how much earlier than the upstream's own time a connection is given up, for the time a request takes
	// to reach it.
	idleSlack = 700 * time.Millisecond
	// leastIdle is the shortest bound that is learnt: requests that follow each other closely share a connection whatever comes.
	leastIdle = 100 * time.Millisecond
	// shrink and grow change the bound after a connection broke, and after one did not: some hundred that hold undo a break.
	shrink = 0.7
	grow   = 1.01
)

func (u *Uplink) put(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.idle == nil {
		u.idle = map[string][]*conn{}
	}
	c.since = time.Now()
	u.idle[c.addr] = append(u.idle[c.addr], c)
}

// Sweep closes connections that were idle for too long or may not be used any more, and returns how many are left.
func (u *Uplink) Sweep() int {
	var old []*conn
	left := 0
	u.mu.Lock()
	for addr, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.since) >= c.keep || !u.usable(c) {
				old = append(old, c)
			} else {
				kept = append(kept, c)
			}
		}
		u.idle[addr] = kept
		left += len(kept)
		if len(kept) == 0 {
			delete(u.idle, addr)
		}
	}
	u.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
	return left
}

// learn takes whether a connection that was idle for so long broke under its next request. Some upstreams drop idle
// connections without a word and sooner than they say: a request on one is reset, and a booking cannot be sent again.
func (u *Uplink) learn(idled time.Duration, broke bool) {
	if idled == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case broke:
		u.longest = max(leastIdle, time.Duration(shrink*float64(idled)))
	case u.longest > 0 && idled > u.longest/2:
		u.longest = min(idleFor, time.Duration(float64(u.longest)*grow))
	}
}

// keepFor returns how long a connection may be idle after an answer with these headers.
func keepFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if !strings.EqualFold(name, "timeout") || err != nil {
			continue
		}
		return time.Duration(seconds)*time.Second - idleSlack
	}
	return idleFor
}
