package roster

import (
	"time"

	"damaskreach/internal/gossip"
)

// Update applies a message from another host.
func (r *Roster) Update(g gossip.Gossip, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.peer(g.IP)
	whole := g.After == 0
	if p.incarnation != g.Incarnation {
		p.incarnation, p.seenSequence = g.Incarnation, 0
	}
	p.ackedIncarnation, p.ackedSequence = g.ReceiverIncarnation, g.Acked
	if whole || g.After <= p.seenSequence {
		p.seenSequence = g.Sequence
	}
	if g.Relay {
		r.updateGroup(g, whole, now)
	} else {
		r.updateHost(g, now)
	}
	for _, s := range g.Stocks {
		r.addStock(s, !g.Relay)
	}
	for _, text := range g.Breaks {
		r.addBreak(text, !g.Relay, now)
	}
	r.updateUsages(g, now)
}

// updateHost applies what a host reports of itself.
func (r *Roster) updateHost(g gossip.Gossip, now time.Time) {
	own := r.groups[r.self]
	if _, known := own.hosts[g.IP]; known {
		r.markHeard(g.IP, now)
	}
	for _, b := range g.Hosts {
		if b.IP == g.IP {
			r.setStatus(b.IP, b, now)
		}
	}
}

// updateGroup applies what a relay reports of its group.
func (r *Roster) updateGroup(g gossip.Gossip, whole bool, now time.Time) {
	m, ok := r.groups[g.IP]
	if !ok {
		m = newGroup()
		r.groups[g.IP] = m
	}
	if whole {
		for ip, b := range m.hosts {
			r.changed[ip] = r.next()
			r.recordReport(ip, b.Version, now)
		}
		clear(m.hosts)
		clear(m.heardAt)
	}
	m.reportedAt = now
	for _, b := range g.Hosts {
		if b.IP == r.self || m.hosts[b.IP].Version > b.Version {
			continue
		}
		m.hosts[b.IP] = b
		m.heardAt[b.IP] = now
		r.changed[b.IP] = r.next()
		r.recordReport(b.IP, b.Version, now)
	}
}

func (r *Roster) updateUsages(g gossip.Gossip, now time.Time) {
	byHost := map[string]hostUsage{}
	for _, u := range g.Usages {
		if u.Host == r.self || !g.Relay && u.Host != g.IP {
			continue
		}
		entry := byHost[u.Host]
		entry.heardAt, entry.local = now, !g.Relay
		entry.usages = append(entry.usages, u)
		byHost[u.Host] = entry
	}
	if !g.Relay {
		delete(r.usages, g.IP)
	}
	for host, entry := range byHost {
		if old, ok := r.usages[host]; ok && old.local && g.Relay && now.Sub(old.heardAt) < r.silenceTimeout {
			continue
		}
		r.usages[host] = entry
	}
}
