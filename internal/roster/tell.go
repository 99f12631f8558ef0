package roster

import (
	"slices"
	"time"

	"damaskreach/internal/gossip"
	"damaskreach/internal/status"
	"damaskreach/internal/usage"
)

const (
	// usesFor is how long what a host said of its requests is passed on.
	usesFor = 2 * time.Second
	// ownersFor is for how long it is not looked for anew which hosts give the orders to the engines that it uses.
	ownersFor = 200 * time.Millisecond
)

// Ask returns what to tell a relay: as a relay what is known of this host's own realm, else of this host alone.
func (r *Roster) Ask(to string, relay bool, now time.Time) gossip.Gossip {
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay {
		return r.forRelay(to, now)
	}
	g := r.message(to, itself)
	if r.own.Version > 0 && r.changed[r.self] > g.After {
		g.Hosts = append(g.Hosts, r.own)
	}
	r.fillHeld(&g, func(s stocked) bool { return s.own })
	r.fillBroke(&g, func(b broken) bool { return b.own })
	if mine := r.uses[r.self]; now.Sub(mine.at) <= usesFor {
		g.Uses = aged(mine.list, now.Sub(mine.at))
	}
	return g
}

// Answer returns what to tell a host that has asked: another relay what is known of this host's own realm, any other host all that is.
func (r *Roster) Answer(q gossip.Gossip, now time.Time) gossip.Gossip {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.Relay {
		return r.forRelay(q.IP, now)
	}
	g := r.message(q.IP, all)
	r.fillHosts(&g, q.IP, now)
	r.fillHeld(&g, func(stocked) bool { return true })
	r.fillBroke(&g, func(broken) bool { return true })
	g.Uses = r.usesAt(q.IP, now)
	return g
}

// forRelay returns what is known of this host's own realm.
func (r *Roster) forRelay(to string, now time.Time) gossip.Gossip {
	g := r.message(to, realms)
	mine := r.realms[r.self]
	for ip, b := range mine.hosts {
		if r.changed[ip] <= g.After {
			continue
		}
		if mine.gone[ip] {
			b = status.Status{IP: ip, Version: b.Version, Gone: true}
		}
		g.Hosts = append(g.Hosts, b)
	}
	r.fillHeld(&g, func(s stocked) bool { return s.own })
	r.fillBroke(&g, func(b broken) bool { return b.own })
	g.Uses = r.usesOf(now, func(host, owner string) bool { return r.uses[host].own && r.speaksFor(to, owner) })
	return g
}

// message begins a message of changes in a scope since those that its receiver is known to have seen.
func (r *Roster) message(to string, of scope) gossip.Gossip {
	p := r.peer(to)
	g := gossip.Gossip{
		IP: r.self, Start: r.start + string(of), Relay: of != itself, Number: r.number, Of: p.start, Seen: p.seen,
	}
	if p.of == g.Start {
		g.After = p.acked
	}
	return g
}

// fillHosts adds all hosts of which something changed.
func (r *Roster) fillHosts(g *gossip.Gossip, to string, now time.Time) {
	counting := r.counting(now)
	g.Hosts = slices.Grow(g.Hosts, r.changedSince(g.After))
	for ip, number := range r.changed {
		if number <= g.After || ip == to {
			continue
		}
		b, live := find(counting, ip)
		if !live {
			b = status.Status{IP: ip, Version: r.words[ip].beat, Gone: true}
		}
		if live || g.After > 0 {
			g.Hosts = append(g.Hosts, b)
		}
	}
}

// changedSince returns how many hosts have changed since a number.
func (r *Roster) changedSince(after int64) (count int) {
	for _, number := range r.changed {
		if number > after {
			count++
		}
	}
	return count
}

// fillHeld adds what changed at engines.
func (r *Roster) fillHeld(g *gossip.Gossip, wanted func(s stocked) bool) {
	for _, s := range r.held {
		if s.number > g.After && wanted(s) {
			g.Held = append(g.Held, s.Stock)
		}
	}
}

// fillBroke adds the breaks that were heard of since; the newest stand last.
func (r *Roster) fillBroke(g *gossip.Gossip, wanted func(b broken) bool) {
	for _, b := range slices.Backward(r.broke) {
		if b.number <= g.After {
			return
		}
		if wanted(b) {
			g.Broke = append(g.Broke, b.text)
		}
	}
}

// speaksFor reports whether a host is the relay of another one.
func (r *Roster) speaksFor(relay, host string) bool {
	if relay == host {
		return true
	}
	m, ok := r.realms[relay]
	if !ok {
		return false
	}
	b, ok := m.hosts[host]
	return ok && !b.Gone
}

// usesOf returns what hosts have at engines, where the host and the engine's order giver are wanted, with their ages as of now.
func (r *Roster) usesOf(now time.Time, wanted func(host, owner string) bool) []usage.Usage {
	var list []usage.Usage
	for host, one := range r.uses {
		if now.Sub(one.at) > usesFor {
			continue
		}
		for owner, uses := range r.owners(host, now) {
			if wanted(host, owner) {
				list = append(list, aged(uses, now.Sub(one.at))...)
			}
		}
	}
	return list
}

// usesAt returns what other hosts have at engines of one order giver, with their ages as of now.
func (r *Roster) usesAt(owner string, now time.Time) []usage.Usage {
	var list []usage.Usage
	for host, one := range r.uses {
		if host != owner && now.Sub(one.at) <= usesFor {
			list = append(list, aged(r.owners(host, now)[owner], now.Sub(one.at))...)
		}
	}
	return list
}

// aged returns what a host said so long ago.
func aged(uses []usage.Usage, age time.Duration) []usage.Usage {
	list := slices.Clone(uses)
	for n := range list {
		list[n].Age += age.Milliseconds()
	}
	return list
}

// owners returns what a host has at engines, by their order givers. A relay asks for it with each message to each of its hosts; an order giver
// changes seldom.
func (r *Roster) owners(host string, now time.Time) map[string][]usage.Usage {
	one := r.uses[host]
	if one.owners != nil && now.Sub(one.ownersAt) < ownersFor {
		return one.owners
	}
	one.owners, one.ownersAt = map[string][]usage.Usage{}, now
	for _, u := range one.list {
		owner := r.owner(u.Engine)
		one.owners[owner] = append(one.owners[owner], u)
	}
	r.uses[host] = one
	return one.owners
}
