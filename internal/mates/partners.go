package mates

import (
	"hash/fnv"
	"slices"
	"time"

	"damaskreach/internal/mate"
	"damaskreach/internal/rhythm"
	"damaskreach/internal/status"
)

// Partners returns the hosts that this one tells and hears, and whether it speaks for others.
func (m *Mates) Partners() (relay bool, list []mate.Mate) {
	now := time.Now()
	return m.partners(m.Hosts(), m.Roster.Living(now), now, true)
}

// partners returns the hosts to tell now, and whether to tell them as a relay. Other relays that ask this one are left out, but where all are
// to know something at once.
func (m *Mates) partners(
	hosts map[string]mate.Mate, living map[string]status.Status, now time.Time, all bool,
) (relay bool, list []mate.Mate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	centres := map[string][]mate.Mate{m.Self.Centre: {m.Self}}
	var lost []mate.Mate
	for ip, h := range hosts {
		switch {
		case ip == m.Self.IP || m.resting(ip, now):
		case m.usable(ip, living, now):
			centres[h.Centre] = withFirst(centres[h.Centre], h)
		default:
			lost = append(lost, h)
		}
	}
	own := centres[m.Self.Centre]
	relay = now.Sub(m.member) < m.rhythm.Silent() || slices.Contains(own, m.Self)
	if !relay {
		return false, own[m.half(len(own)):][:1]
	}
	for _, relays := range centres {
		for _, h := range relays {
			if h.IP != m.Self.IP && (all || !m.asks(h.IP, now)) {
				list = append(list, h)
			}
		}
	}
	if len(lost) > 0 {
		// Two parts of a site that were cut apart each take the other for lost, and neither would ask again. It is asked beside
		// those that answer and in place of none, so that a host that is down holds up nobody.
		list = append(list, slices.MinFunc(lost, order))
	}
	return true, list
}

// withFirst adds a host to the first ones of a data centre, in their order, and drops one that is none of them any more.
func withFirst(first []mate.Mate, h mate.Mate) []mate.Mate {
	if len(first) == rhythm.Relays && !h.Before(first[len(first)-1]) {
		return first
	}
	at, _ := slices.BinarySearchFunc(first, h, order)
	first = slices.Insert(first, at, h)
	return first[:min(rhythm.Relays, len(first))]
}

func order(a, b mate.Mate) int {
	if a.Before(b) {
		return -1
	}
	return 1
}

// usable reports whether a host may be relied on as a relay: one that has answered, or that another one hears, or of which nobody
// knows anything yet.
func (m *Mates) usable(ip string, living map[string]status.Status, now time.Time) bool {
	if _, live := living[ip]; live {
		return true
	}
	return m.calls[ip].fails == 0 && !m.Roster.Gone(ip, now)
}

// resting reports whether a host is not asked at present, since it gave no answer.
func (m *Mates) resting(ip string, now time.Time) bool {
	c := m.calls[ip]
	return now.Before(c.until) || !c.since.IsZero() && now.Sub(c.since) > m.rhythm.Patience()
}

// half spreads hosts over so many relays.
func (m *Mates) half(relays int) int {
	sum := fnv.New32a()
	sum.Write([]byte(m.Self.IP))
	return int(sum.Sum32()>>8) % relays
}

// asks reports whether another relay asks this one at present, which tells both as much as the other way would. Where both have
// begun to, the one with the lower address goes on.
func (m *Mates) asks(ip string, now time.Time) bool {
	return ip < m.Self.IP && now.Sub(m.relayed[ip]) < m.rhythm.Every()*3/2
}
