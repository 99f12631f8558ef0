package mates

import (
	"time"

	"damaskreach/internal/gossip"
)

// Answer takes what another host asks and returns what it is told.
func (m *Mates) Answer(g gossip.Gossip) gossip.Gossip {
	now := time.Now()
	m.asked(g, now)
	m.take(g, now)
	answer := m.Roster.Answer(g, now)
	m.Add(g.IP, &answer)
	return answer
}

func (m *Mates) asked(g gossip.Gossip, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g.Relay {
		m.relayed[g.IP] = now
	} else {
		m.member = now
	}
}

func (m *Mates) take(g gossip.Gossip, now time.Time) {
	m.Roster.Hear(g, now)
	m.Hear(g)
}
