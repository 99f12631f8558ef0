package mates

import (
	"time"

	"damaskreach/internal/mate"
	"damaskreach/internal/status"
)

// IsAlive reports whether another host is alive. It takes no lock: it is called under locks for which the roster waits while it holds its own, to learn who owns
// an engine, and both would wait for ever.
func (m *Mates) IsAlive(ip string) bool {
	_, alive := m.Alive()[ip]
	return alive
}

// MaxRelayAge returns the age of the oldest report among the relays that count.
func (m *Mates) MaxRelayAge() time.Duration {
	return m.Roster.MaxRelayAge(time.Now())
}

// CanOwn reports whether a host is alive and holds its lease, so that it may own engines.
func (m *Mates) CanOwn(ip string) bool {
	b, live := m.Roster.Find(ip, time.Now())
	return live && !b.LeaseLapsed
}

// StoreDown reports whether an alive host reports that it can't reach the store.
func (m *Mates) StoreDown(ip string) bool {
	b, live := m.Roster.Find(ip, time.Now())
	return live && b.StoreDown
}

// Serving returns the other hosts that callers may be sent to. The map must not be changed.
func (m *Mates) Serving() map[string]mate.Mate {
	return *m.serving.Load()
}

// Connected returns those of the serving hosts that reach upstreams. The map must not be changed.
func (m *Mates) Connected() map[string]mate.Mate {
	return *m.connected.Load()
}

// HigherRanked returns those of the serving hosts that rank before this one. The list must not be changed.
func (m *Mates) HigherRanked() []mate.Mate {
	return *m.higherRanked.Load()
}

// Alive returns the other hosts that are alive, draining ones included. The map must not be changed.
func (m *Mates) Alive() map[string]mate.Mate {
	return *m.alive.Load()
}

// updateLists updates the lists of other hosts that are alive and of those that callers may be sent to.
func (m *Mates) updateLists(hosts map[string]mate.Mate, statuses map[string]status.Status) {
	serving, alive := make(map[string]mate.Mate, len(hosts)), make(map[string]mate.Mate, len(hosts))
	connected := make(map[string]mate.Mate, len(hosts))
	var higherRanked []mate.Mate
	for ip, h := range hosts {
		b, live := statuses[ip]
		if ip == m.Self.IP || !live {
			continue
		}
		alive[ip] = h
		if b.Leaving {
			continue
		}
		serving[ip] = h
		if !b.Isolated {
			connected[ip] = h
		}
		if h.Before(m.Self) {
			higherRanked = append(higherRanked, h)
		}
	}
	m.higherRanked.Store(&higherRanked)
	m.serving.Store(&serving)
	m.connected.Store(&connected)
	m.alive.Store(&alive)
}
