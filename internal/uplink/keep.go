package uplink

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// defaultIdleTimeout applies if the upstream names none. Upstreams close idle connections, and a request that is sent at that moment may
	// have run, so that it cannot be repeated.
	defaultIdleTimeout = 4 * time.Second
	// idleSlack is how much earlier than its upstream would a connection is closed, for the time that a request takes to arrive.
	idleSlack = 700 * time.Millisecond
	// minLearnedTimeout is the shortest idle timeout that is learned, so that requests in quick succession always share a connection.
	minLearnedTimeout = 100 * time.Millisecond
	// shrinkFactor and growFactor change the learned timeout after a connection that broke and after one that did not: it takes some hundred
	// of the latter to make up for a break.
	shrinkFactor = 0.7
	growFactor   = 1.01
)

// put keeps a connection for the next request.
func (u *Uplink) put(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.idle == nil {
		u.idle = map[string][]*conn{}
	}
	c.idleSince = time.Now()
	u.idle[c.addr] = append(u.idle[c.addr], c)
}

// noteClosed records that the other side has closed an idle connection to an address.
func (u *Uplink) noteClosed(addr string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.setClosed(addr)
}

// setClosed does so; the caller must hold the lock.
func (u *Uplink) setClosed(addr string) {
	if u.closed == nil {
		u.closed = map[string]bool{}
	}
	u.closed[addr] = true
}

// Lost returns the addresses at which the other side has closed a connection that was used within a time and was idle, and all other idle ones: what listened there
// may have ended. It closes these connections.
func (u *Uplink) Lost(within time.Duration) (addrs []string) {
	var lost []*conn
	u.mu.Lock()
	for addr, list := range u.idle {
		if slices.ContainsFunc(list, func(c *conn) bool { return time.Since(c.idleSince) <= within && isClosed(c.Conn) }) {
			u.setClosed(addr)
		}
	}
	for addr := range u.closed {
		list := u.idle[addr]
		if slices.ContainsFunc(list, func(c *conn) bool { return !isClosed(c.Conn) }) {
			continue
		}
		lost = append(lost, list...)
		addrs = append(addrs, addr)
		delete(u.idle, addr)
	}
	clear(u.closed)
	u.mu.Unlock()
	for _, c := range lost {
		c.Close()
	}
	return addrs
}

// Sweep closes the connections that have been idle for too long or may not be used any more, and returns how many are left.
func (u *Uplink) Sweep() int {
	var old []*conn
	left := 0
	u.mu.Lock()
	for addr, list := range u.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) >= c.idleTimeout || !u.usable(c) {
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

// learnIdleTimeout records whether a connection broke under the first request after it was idle for some time. Some upstreams drop idle
// connections sooner than they announce: the next request is then reset, and one that is not idempotent cannot be sent again.
func (u *Uplink) learnIdleTimeout(idle time.Duration, broke bool) {
	if idle == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case broke:
		u.learnedTimeout = max(minLearnedTimeout, time.Duration(shrinkFactor*float64(idle)))
	case u.learnedTimeout > 0 && idle > u.learnedTimeout/2:
		u.learnedTimeout = min(defaultIdleTimeout, time.Duration(float64(u.learnedTimeout)*growFactor))
	}
}

// idleTimeoutOf returns how long a connection may be idle after an answer with these headers.
func idleTimeoutOf(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if !strings.EqualFold(name, "timeout") || err != nil {
			continue
		}
		return time.Duration(seconds)*time.Second - idleSlack
	}
	return defaultIdleTimeout
}
