package roster

import (
	"cmp"
	"slices"
	"time"

	"damaskreach/internal/gossip"
	"damaskreach/internal/status"
	"damaskreach/internal/usage"
)

const (
	// usageTTL is how long a host's use of engines is passed on.
	usageTTL = 2 * time.Second
	// ownerCacheTTL is how long the grouping of a host's usages by engine owner is reused.
	ownerCacheTTL = 200 * time.Millisecond
)

// Request returns the message to send to a relay: from a relay the state of its own group, else that of this host alone.
func (r *Roster) Request(to string, relay bool, now time.Time) gossip.Gossip {
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay {
		return r.groupMessage(to, now)
	}
	g := r.newMessage(to, scopeSelf)
	if r.ownStatus.Version > 0 && r.changed[r.self] > g.After {
		g.Hosts = append(g.Hosts, r.ownStatus)
	}
	r.addStocks(&g, func(s stockEntry) bool { return s.local })
	r.addBreaks(&g, now, func(b breakEntry) bool { return b.local })
	if own := r.usages[r.self]; now.Sub(own.heardAt) <= usageTTL {
		g.Usages = withAge(own.usages, now.Sub(own.heardAt))
	}
	return g
}

// Answer returns the answer to a request: to another relay the state of this host's own group, to any other host the whole state.
func (r *Roster) Answer(q gossip.Gossip, now time.Time) gossip.Gossip {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Relay {
		return r.groupMessage(q.IP, now)
	}
	g := r.newMessage(q.IP, scopeAll)
	r.addHosts(&g, q.IP, now)
	r.addStocks(&g, func(stockEntry) bool { return true })
	r.addBreaks(&g, now, func(breakEntry) bool { return true })
	g.Usages = r.usagesAt(q.IP, now)
	return g
}

// groupMessage returns a message with the state of this host's own group.
func (r *Roster) groupMessage(to string, now time.Time) gossip.Gossip {
	g := r.newMessage(to, scopeGroup)
	own := r.groups[r.self]
	for ip, b := range own.hosts {
		if r.changed[ip] <= g.After {
			continue
		}
		if own.silent[ip] {
			b = status.Status{IP: ip, Version: b.Version, Gone: true}
		}
		g.Hosts = append(g.Hosts, b)
	}
	r.addStocks(&g, func(s stockEntry) bool { return s.local })
	r.addBreaks(&g, now, func(b breakEntry) bool { return b.local })
	g.Usages = r.usagesWhere(now, func(host, owner string) bool { return r.usages[host].local && r.isRelayOf(to, owner) })
	return g
}

// newMessage returns an empty message for the changes in a scope that its receiver hasn't acknowledged.
func (r *Roster) newMessage(to string, of scope) gossip.Gossip {
	p := r.peer(to)
	g := gossip.Gossip{
		IP: r.self, Incarnation: r.incarnation + string(of), Relay: of != scopeSelf,
		Sequence: r.sequence, ReceiverIncarnation: p.incarnation, Acked: p.seenSequence,
	}
	if p.ackedIncarnation == g.Incarnation {
		g.After = p.ackedSequence
	}
	return g
}

// addHosts adds the status of all hosts that changed.
func (r *Roster) addHosts(g *gossip.Gossip, to string, now time.Time) {
	groups := r.freshGroups(now)
	g.Hosts = slices.Grow(g.Hosts, r.changedSince(g.After))
	for ip, number := range r.changed {
		if number <= g.After || ip == to {
			continue
		}
		b, live := findNewest(groups, ip)
		if !live {
			b = status.Status{IP: ip, Version: r.lastReports[ip].version, Gone: true}
		}
		if live || g.After > 0 {
			g.Hosts = append(g.Hosts, b)
		}
	}
}

// changedSince returns how many hosts have changed since a sequence number.
func (r *Roster) changedSince(after int64) (count int) {
	for _, number := range r.changed {
		if number > after {
			count++
		}
	}
	return count
}

// addStocks adds the stocks that changed.
func (r *Roster) addStocks(g *gossip.Gossip, wanted func(s stockEntry) bool) {
	for _, s := range r.stocks {
		if s.sequence > g.After && wanted(s) {
			g.Stocks = append(g.Stocks, s.Stock)
		}
	}
}

// addBreaks adds the new reports on requests that broke off, in the order in which they came: one may take back another.
func (r *Roster) addBreaks(g *gossip.Gossip, now time.Time, wanted func(b breakEntry) bool) {
	first, _ := slices.BinarySearchFunc(r.breaks, g.After+1, func(b breakEntry, sequence int64) int { return cmp.Compare(b.sequence, sequence) })
	for _, b := range r.breaks[first:] {
		if wanted(b) && now.Sub(b.addedAt) <= breakRetention {
			g.Breaks = append(g.Breaks, b.text)
		}
	}
}

// isRelayOf reports whether a host is the relay of another one.
func (r *Roster) isRelayOf(relay, host string) bool {
	if relay == host {
		return true
	}
	m, ok := r.groups[relay]
	if !ok {
		return false
	}
	b, ok := m.hosts[host]
	return ok && !b.Gone
}

// usagesWhere returns the usages whose host and engine owner are wanted, with their ages as of now.
func (r *Roster) usagesWhere(now time.Time, wanted func(host, owner string) bool) []usage.Usage {
	var list []usage.Usage
	for host, entry := range r.usages {
		if now.Sub(entry.heardAt) > usageTTL {
			continue
		}
		for owner, uses := range r.usagesByOwner(host, now) {
			if wanted(host, owner) {
				list = append(list, withAge(uses, now.Sub(entry.heardAt))...)
			}
		}
	}
	return list
}

// usagesAt returns other hosts' usages of one owner's engines, with their ages as of now.
func (r *Roster) usagesAt(owner string, now time.Time) []usage.Usage {
	var list []usage.Usage
	for host, entry := range r.usages {
		if host != owner && now.Sub(entry.heardAt) <= usageTTL {
			list = append(list, withAge(r.usagesByOwner(host, now)[owner], now.Sub(entry.heardAt))...)
		}
	}
	return list
}

// withAge returns a copy of usages that are older by age.
func withAge(uses []usage.Usage, age time.Duration) []usage.Usage {
	list := slices.Clone(uses)
	for n := range list {
		list[n].Age += age.Milliseconds()
	}
	return list
}

// usagesByOwner returns a host's usages by engine owner. The result is cached, since a relay needs it for each message to each of
// its hosts and owners seldom change.
func (r *Roster) usagesByOwner(host string, now time.Time) map[string][]usage.Usage {
	entry := r.usages[host]
	if entry.byOwner != nil && now.Sub(entry.groupedAt) < ownerCacheTTL {
		return entry.byOwner
	}
	entry.byOwner, entry.groupedAt = map[string][]usage.Usage{}, now
	for _, u := range entry.usages {
		owner := r.owner(u.Engine)
		entry.byOwner[owner] = append(entry.byOwner[owner], u)
	}
	r.usages[host] = entry
	return entry.byOwner
}
