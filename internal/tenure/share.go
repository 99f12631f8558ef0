package tenure

import "time"

// discovering reports whether no engine has an owner yet and this host has just learned of more engines.
func (t *Tenure) discovering(now time.Duration, engines int) bool {
	if len(t.owners) > 0 {
		return false
	}
	if engines > t.maxEnginesSeen {
		t.maxEnginesSeen, t.maxEnginesAt = engines, now
	}
	return now-t.maxEnginesAt < settleDelay
}

// maxShare returns how many engines a host claims before others do: up to twice the mean. Hosts, not engines, share the bandwidth of
// the weight store: a host with a third of all engines would load to one after the other while other hosts had nothing to load.
func (t *Tenure) maxShare(engines int) int {
	active := 0
	for ip, h := range t.hosts {
		if !h.Ended && !h.Passive && (ip == t.IP || t.peerReaches(ip)) {
			active++
		}
	}
	return 2*engines/max(1, active) + 1
}

// claimCounts returns how many engines each host holds.
func (t *Tenure) claimCounts() map[string]int {
	held := map[string]int{}
	for _, o := range t.owners {
		if t.isOwned(o) {
			held[o.IP]++
		}
	}
	return held
}
