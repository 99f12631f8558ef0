package giver

import (
	"time"

	"damaskreach/internal/memo"
	"damaskreach/internal/spent"
	"damaskreach/internal/usage"
)

// Spent takes that a turn has ended.
func (g *Giver) Spent(s spent.Spent) {
	g.mu.Lock()
	l := g.lanes[s.Engine]
	g.mu.Unlock()
	if l != nil {
		l.spent(s)
	}
}

// Memos returns what is to outlive this host of each engine that it orders.
func (g *Giver) Memos() map[string]memo.Memo {
	g.mu.Lock()
	defer g.mu.Unlock()
	memos := map[string]memo.Memo{}
	for id, d := range g.desks {
		if m := d.memo.Load(); m != nil {
			memos[id] = *m
		}
	}
	return memos
}

// Used records that requests use adapters at an engine, so that they are not the first to go.
func (g *Giver) Used(id string, adapters []string, now time.Time) {
	if d := g.desk(id); d != nil {
		d.touch(adapters, now)
	}
}

// Waits returns how long a prompt would wait at each engine whose turns this host grants.
func (g *Giver) Waits(grants func(id string) bool) map[string]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	waits := map[string]time.Duration{}
	for id, l := range g.lanes {
		if !grants(id) {
			continue
		}
		waits[id] = l.wait()
		if d := g.desks[id]; d != nil {
			waits[id] += d.loadWait()
		}
	}
	return waits
}

// Take records what hosts' requests use at engines whose turns this host grants: how many there are, how fast they go, and their adapters, so
// that these are not the first to go.
func (g *Giver) Take(uses []usage.Usage, now time.Time) {
	for _, u := range uses {
		at := u.At(now)
		if l := g.lane(u.Engine); l != nil {
			l.told(u, at)
		}
		if d := g.desk(u.Engine); d != nil {
			d.touch(u.Adapters, at)
		}
	}
}

// Loads returns how many requests run at each engine whose turns this host grants; 0 where the last of them ended a moment ago, so that nobody
// goes on believing the count before.
func (g *Giver) Loads(grants func(id string) bool) map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := map[string]int{}
	for id, l := range g.lanes {
		if n, tell := l.running(); tell && grants(id) {
			loads[id] = n
		}
	}
	return loads
}
