package roster

import (
	"slices"
	"time"

	"damaskreach/internal/status"
)

// CheckLiveness returns the hosts that were lost or reached since the last check, and forgets those lost long ago. The argument silent
// is how long a host counts as alive after it was last heard.
func (r *Roster) CheckLiveness(silent time.Duration, now time.Time) (reached, lost []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silenceTimeout = silent
	r.dropSilentHosts(now)
	groups := r.freshGroups(now)
	for ip := range r.changed {
		_, live := findNewest(groups, ip)
		if !live && !r.remembersLoss(ip, now) {
			delete(r.changed, ip)
			delete(r.alive, ip)
			delete(r.lastReports, ip)
			continue
		}
		if live == r.alive[ip] {
			continue
		}
		r.alive[ip] = live
		r.changed[ip] = r.next()
		if ip == r.self {
			continue
		}
		if live {
			reached = append(reached, ip)
		} else {
			lost = append(lost, ip)
		}
	}
	return reached, lost
}

// dropSilentHosts marks hosts of this host's own group that timed out, and drops old entries.
func (r *Roster) dropSilentHosts(now time.Time) {
	own := r.groups[r.self]
	for ip, at := range own.heardAt {
		if ip == r.self || now.Sub(at) < r.silenceTimeout {
			continue
		}
		if !own.silent[ip] {
			own.silent[ip] = true
			r.changed[ip] = r.next()
		}
		if now.Sub(at) > hostRetention {
			delete(own.hosts, ip)
			delete(own.heardAt, ip)
			delete(own.silent, ip)
			delete(r.peers, ip)
		}
	}
	for relay, m := range r.groups {
		if relay != r.self && now.Sub(m.reportedAt) > hostRetention {
			delete(r.groups, relay)
			delete(r.peers, relay)
		}
		if relay != r.self {
			m.dropGone(now)
		}
	}
	for host, entry := range r.usages {
		if now.Sub(entry.heardAt) > usageTTL {
			delete(r.usages, host)
		}
	}
}

// dropGone drops hosts of another relay's group that were reported lost long ago.
func (m *group) dropGone(now time.Time) {
	for ip, b := range m.hosts {
		if b.Gone && now.Sub(m.heardAt[ip]) > hostRetention {
			delete(m.hosts, ip)
			delete(m.heardAt, ip)
		}
	}
}

// remembersLoss reports whether the loss of a host must still be remembered.
func (r *Roster) remembersLoss(ip string, now time.Time) bool {
	if r.isReported(ip) {
		r.recordReport(ip, 0, now)
	}
	return now.Sub(r.lastReports[ip].reportedAt) <= lossRetention
}

// isReported reports whether any group contains a host.
func (r *Roster) isReported(ip string) bool {
	for _, m := range r.groups {
		if _, ok := m.hosts[ip]; ok {
			return true
		}
	}
	return false
}

// Forget drops the stocks of engines that are gone.
func (r *Roster) Forget(gone func(engine string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.stocks {
		if gone(id) {
			delete(r.stocks, id)
		}
	}
}

// Find returns the latest status of a host; ok is false if it isn't alive.
func (r *Roster) Find(ip string, now time.Time) (b status.Status, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return findNewest(r.freshGroups(now), ip)
}

// Alive returns the latest status of each host that is alive.
func (r *Roster) Alive(now time.Time) map[string]status.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	groups := r.freshGroups(now)
	living := make(map[string]status.Status, len(r.changed))
	for ip := range r.changed {
		if b, ok := findNewest(groups, ip); ok {
			living[ip] = b
		}
	}
	return living
}

// Gone reports whether a host is known to be lost: some fresh group contains it, and in none is it alive. A host that no fresh
// group contains may well be alive.
func (r *Roster) Gone(ip string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	groups := r.freshGroups(now)
	if _, live := findNewest(groups, ip); live {
		return false
	}
	return slices.ContainsFunc(groups, func(m *group) bool {
		_, ok := m.hosts[ip]
		return ok
	})
}

// MaxRelayAge returns the age of the oldest report among the relays that count.
func (r *Roster) MaxRelayAge(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := time.Duration(0)
	for relay, m := range r.groups {
		if relay != r.self && r.isFresh(relay, now) {
			oldest = max(oldest, now.Sub(m.reportedAt))
		}
	}
	return oldest
}
