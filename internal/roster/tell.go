package roster

import (
	"slices"
	"time"

	"damaskreach/internal/busy"
	"damaskreach/internal/gossip"
	"damaskreach/internal/usage"
)

// usesFor is how long what a host said of its requests is passed on.
const usesFor = 2 * time.Second

// Ask returns what to tell a relay: as a relay what is known of this host's own realm, else of this host alone.
func (r *Roster) Ask(to string, relay bool, now time.Time) gossip.Gossip {
	r.mu.Lock()
	defer r.mu.Unlock()
	if relay {
		return r.forRelay(to, now)
	}
	g := r.message(to, itself)
	if r.own.Beat > 0 && r.changed[r.self] > g.After {
		g.Hosts = append(g.Hosts, r.own)
	}
	r.fillHeld(&g, func(s stocked) bool { return s.own })
	r.fillBroke(&g, func(b broken) bool { return b.own })
	g.Uses = r.usesOf(now, func(host, _ string) bool { return host == r.self })
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
	g.Uses = r.usesOf(now, func(host, owner string) bool { return owner == q.IP && host != q.IP })
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
			b = busy.Busy{IP: ip, Beat: b.Beat, Gone: true}
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
			b = busy.Busy{IP: ip, Beat: r.words[ip].beat, Gone: true}
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
		for _, u := range one.list {
			if !wanted(host, r.owner(u.Engine)) {
				continue
			}
			u.Age += now.Sub(one.at).Milliseconds()
			list = append(list, u)
		}
	}
	return list
}
