package mates

import (
	"hash/fnv"
	"slices"
	"time"

	"damaskreach/internal/mate"
	"damaskreach/internal/rhythm"
	"damaskreach/internal/status"
)

// Partners returns the hosts that this one exchanges messages with, and whether it is a relay.
func (m *Mates) Partners() (relay bool, list []mate.Mate) {
	now := time.Now()
	return m.partners(m.Hosts(), m.Roster.Alive(now), now, true)
}

// partners returns the hosts to send requests to now, and whether to send them as a relay. Other relays that already send requests
// to this one are left out unless all is set, for news that can't wait.
func (m *Mates) partners(
	hosts map[string]mate.Mate, living map[string]status.Status, now time.Time, all bool,
) (relay bool, list []mate.Mate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	centres := map[string][]mate.Mate{m.Self.Centre: {m.Self}}
	var lost []mate.Mate
	for ip, h := range hosts {
		switch {
		case ip == m.Self.IP || m.inBackoff(ip, now):
		case m.usable(ip, living, now):
			centres[h.Centre] = insertRelay(centres[h.Centre], h)
		default:
			lost = append(lost, h)
		}
	}
	own := centres[m.Self.Centre]
	relay = now.Sub(m.lastMember) < m.rhythm.Silent() || slices.Contains(own, m.Self)
	if !relay {
		return false, own[m.relayIndex(len(own)):][:1]
	}
	for _, relays := range centres {
		for _, h := range relays {
			if h.IP != m.Self.IP && (all || !m.isAskedBy(h.IP, now)) {
				list = append(list, h)
			}
		}
	}
	if len(lost) > 0 {
		// After a network partition, each side takes the other for lost and neither would send to it again. One lost host is
		// tried in addition to the live ones, so that a host that is down delays nobody.
		list = append(list, slices.MinFunc(lost, compareRank))
	}
	return true, list
}

// insertRelay inserts a host into the relays of a data centre by rank, and drops the lowest if there are too many.
func insertRelay(relays []mate.Mate, h mate.Mate) []mate.Mate {
	if len(relays) == rhythm.Relays && !h.Before(relays[len(relays)-1]) {
		return relays
	}
	index, _ := slices.BinarySearchFunc(relays, h, compareRank)
	relays = slices.Insert(relays, index, h)
	return relays[:min(rhythm.Relays, len(relays))]
}

func compareRank(a, b mate.Mate) int {
	if a.Before(b) {
		return -1
	}
	return 1
}

// usable reports whether a host may be relied on as a relay: it is alive by some report, or its last call didn't fail and it
// isn't known to be lost.
func (m *Mates) usable(ip string, living map[string]status.Status, now time.Time) bool {
	if _, live := living[ip]; live {
		return true
	}
	return m.calls[ip].failures == 0 && !m.Roster.Gone(ip, now)
}

// inBackoff reports whether no request is sent to a host at present, since it didn't answer.
func (m *Mates) inBackoff(ip string, now time.Time) bool {
	c := m.calls[ip]
	return now.Before(c.backoffUntil) || !c.startedAt.IsZero() && now.Sub(c.startedAt) > m.rhythm.Patience()
}

// relayIndex spreads hosts evenly over the relays.
func (m *Mates) relayIndex(relays int) int {
	sum := fnv.New32a()
	sum.Write([]byte(m.Self.IP))
	return int(sum.Sum32()>>8) % relays
}

// isAskedBy reports whether another relay sends requests to this one at present, which informs both just as well. If both
// have begun to, the one with the lower address goes on.
func (m *Mates) isAskedBy(ip string, now time.Time) bool {
	return ip < m.Self.IP && now.Sub(m.lastRelay[ip]) < m.rhythm.Every()*3/2
}
