package limit

import "time"

// Used returns what this node used of each limit within the last minute, for the homes of the limits.
func (l *Limit) Used(now time.Time) map[string]float64 {
	l.trim(now)
	all := map[string]float64{}
	for key, m := range l.meters {
		if own := m.own(now); own > 0 {
			all[key] = own
		}
	}
	return all
}

// trim drops meters that hold nothing any more.
func (l *Limit) trim(now time.Time) {
	for key, m := range l.meters {
		if len(m.open) == 0 && m.used(now) == 0 {
			delete(l.meters, key)
		}
	}
}
