package mates

import (
	"time"

	"damaskreach/internal/mate"
	"damaskreach/internal/status"
)

// Live reports whether a host is alive.
func (m *Mates) Live(ip string) bool {
	_, live := m.Roster.Find(ip, time.Now())
	return live
}

// Oldest returns the age of the oldest word of a relay that counts.
func (m *Mates) Oldest() time.Duration {
	return m.Roster.Oldest(time.Now())
}

// Ordering reports whether a host is alive and may give orders.
func (m *Mates) Ordering(ip string) bool {
	b, live := m.Roster.Find(ip, time.Now())
	return live && !b.LeaseLapsed
}

// Away reports whether a host says that the store does not answer it.
func (m *Mates) Away(ip string) bool {
	b, live := m.Roster.Find(ip, time.Now())
	return live && b.StoreDown
}

// Serving returns the hosts, but for this one, that callers may be sent to. The map must not be changed.
func (m *Mates) Serving() map[string]mate.Mate {
	return *m.serving.Load()
}

// Reaching returns those of the hosts that callers may be sent to which reach upstreams. The map must not be changed.
func (m *Mates) Reaching() map[string]mate.Mate {
	return *m.reaching.Load()
}

// Ahead returns those of the hosts that callers may be sent to which come before this one. The list must not be changed.
func (m *Mates) Ahead() []mate.Mate {
	return *m.ahead.Load()
}

// Living returns the hosts, but for this one, that are alive, also those that leave. The map must not be changed.
func (m *Mates) Living() map[string]mate.Mate {
	return *m.living.Load()
}

// serve notes which hosts are alive, this one among them, and which others callers may be sent to.
func (m *Mates) serve(hosts map[string]mate.Mate, alive map[string]status.Status) {
	serving, living := make(map[string]mate.Mate, len(hosts)), make(map[string]mate.Mate, len(hosts))
	reaching := make(map[string]mate.Mate, len(hosts))
	var ahead []mate.Mate
	for ip, h := range hosts {
		b, live := alive[ip]
		if ip == m.Self.IP || !live {
			continue
		}
		living[ip] = h
		if b.Leaving {
			continue
		}
		serving[ip] = h
		if !b.Isolated {
			reaching[ip] = h
		}
		if h.Before(m.Self) {
			ahead = append(ahead, h)
		}
	}
	m.ahead.Store(&ahead)
	m.serving.Store(&serving)
	m.reaching.Store(&reaching)
	m.living.Store(&living)
}
