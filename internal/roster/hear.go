package roster

import (
	"time"

	"damaskreach/internal/gossip"
)

// Hear takes what another host said.
func (r *Roster) Hear(g gossip.Gossip, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(g.IP)
	whole := g.After == 0
	if p.start != g.Start {
		p.start, p.seen = g.Start, 0
	}
	p.of, p.acked = g.Of, g.Seen
	if whole || g.After <= p.seen {
		p.seen = g.Number
	}
	if g.Relay {
		r.hearRelay(g, whole, now)
	} else {
		r.hearHost(g, now)
	}
	for _, s := range g.Held {
		r.addHeld(s, !g.Relay)
	}
	for _, text := range g.Broke {
		r.addBroke(text, !g.Relay)
	}
	r.hearUses(g, now)
}

// hearHost takes what a host says of itself alone.
func (r *Roster) hearHost(g gossip.Gossip, now time.Time) {
	mine := r.realms[r.self]
	if _, known := mine.hosts[g.IP]; known {
		r.hears(g.IP, now)
	}
	for _, b := range g.Hosts {
		if b.IP == g.IP {
			r.put(b.IP, b, now)
		}
	}
}

// hearRelay takes what a host says of those that it speaks for.
func (r *Roster) hearRelay(g gossip.Gossip, whole bool, now time.Time) {
	m, ok := r.realms[g.IP]
	if !ok {
		m = newRealm()
		r.realms[g.IP] = m
	}
	if whole {
		for ip, b := range m.hosts {
			r.changed[ip] = r.next()
			r.spoke(ip, b.Version, now)
		}
		clear(m.hosts)
		clear(m.heard)
	}
	m.at = now
	for _, b := range g.Hosts {
		if b.IP == r.self || m.hosts[b.IP].Version > b.Version {
			continue
		}
		m.hosts[b.IP] = b
		m.heard[b.IP] = now
		r.changed[b.IP] = r.next()
		r.spoke(b.IP, b.Version, now)
	}
}

func (r *Roster) hearUses(g gossip.Gossip, now time.Time) {
	fresh := map[string]using{}
	for _, u := range g.Uses {
		if u.Host == r.self || !g.Relay && u.Host != g.IP {
			continue
		}
		one := fresh[u.Host]
		one.at, one.own = now, !g.Relay
		one.list = append(one.list, u)
		fresh[u.Host] = one
	}
	if !g.Relay {
		delete(r.uses, g.IP)
	}
	for host, one := range fresh {
		if old, ok := r.uses[host]; ok && old.own && g.Relay && now.Sub(old.at) < r.silent {
			continue
		}
		r.uses[host] = one
	}
}
