package mates

import (
	"time"

	"damaskreach/internal/gossip"
)

// Answer applies another host's request and returns the answer.
func (m *Mates) Answer(g gossip.Gossip) gossip.Gossip {
	now := time.Now()
	m.recordRequest(g, now)
	m.update(g, now)
	answer := m.Roster.Answer(g, now)
	m.Attach(g.IP, &answer)
	return answer
}

func (m *Mates) recordRequest(g gossip.Gossip, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g.Relay {
		m.lastRelay[g.IP] = now
	} else {
		m.lastMember = now
	}
}

func (m *Mates) update(g gossip.Gossip, now time.Time) {
	m.Roster.Update(g, now)
	m.Observe(g)
}
