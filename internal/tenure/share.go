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

// room returns how many more engines this host may take before others: up to twice the mean. The weight store's full speed is
// shared by hosts, not by engines; a host with a third of all engines would load to one after the other while others idle.
func (t *Tenure) room(engines int) int {
	active, mine := 0, 0
	for _, h := range t.hosts {
		if !h.Ended && !h.Passive {
			active++
		}
	}
	for range t.claimed() {
		mine++
	}
	return max(0, 2*engines/max(1, active)+1-mine)
}
