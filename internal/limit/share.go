package limit

import "time"

// Used returns what this node used of each limit within the last minute, for the other nodes.
func (l *Limit) Used(now time.Time) map[string]float64 {
	all := map[string]float64{}
	for key, m := range l.meters {
		if own := m.own(now); own > 0 {
			all[key] = own
		}
	}
	return all
}

// Others takes in what another node used, and the number of other nodes there are.
// With an exchange every second the nodes together pass a limit by at most one request a node,
// and by what answers turn out longer than expected.
func (l *Limit) Others(now time.Time, node string, used map[string]float64, peers int) {
	l.peers = peers
	for key := range used {
		l.meter(key)
	}
	for key, m := range l.meters {
		if m.others == nil {
			m.others = map[string]other{}
		}
		m.others[node] = other{used: used[key], at: now}
	}
	l.trim(now)
}

// trim drops meters that hold nothing any more.
func (l *Limit) trim(now time.Time) {
	for key, m := range l.meters {
		if len(m.open) == 0 && m.used(now) == 0 {
			delete(l.meters, key)
		}
	}
}
