package tenure

import "time"

// growing reports whether this host has just learned of more engines and none has a host yet.
func (t *Tenure) growing(now time.Duration, engines int) bool {
	if len(t.own) > 0 {
		return false
	}
	if engines > t.known {
		t.known, t.knownAt = engines, now
	}
	return now-t.knownAt < settleFor
}

// share returns how many engines a host takes before others do: up to twice the mean. The weight store's full speed is
// shared by hosts, not by engines; a host with a third of all engines would load to one after the other while others idle.
func (t *Tenure) share(engines int) int {
	active := 0
	for ip, h := range t.hosts {
		if !h.Ended && !h.Passive && (ip == t.IP || t.able(ip)) {
			active++
		}
	}
	return 2*engines/max(1, active) + 1
}

// holdings returns how many engines each host holds.
func (t *Tenure) holdings() map[string]int {
	held := map[string]int{}
	for _, o := range t.own {
		if t.lasts(o) {
			held[o.IP]++
		}
	}
	return held
}
