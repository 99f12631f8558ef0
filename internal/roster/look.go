package roster

import (
	"slices"
	"time"

	"damaskreach/internal/status"
)

// Look finds hosts that fell silent or are heard again since the last look, and forgets those that are long gone. Silent is how long a host
// counts as alive after it was last heard.
func (r *Roster) Look(silent time.Duration, now time.Time) (reached, lost []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
	r.dropSilent(now)
	counting := r.counting(now)
	for ip := range r.changed {
		_, live := find(counting, ip)
		if !live && !r.keeps(ip, now) {
			delete(r.changed, ip)
			delete(r.alive, ip)
			delete(r.words, ip)
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

// dropSilent marks hosts of this host's own realm that it has not heard for too long, and forgets what is old.
func (r *Roster) dropSilent(now time.Time) {
	mine := r.realms[r.self]
	for ip, at := range mine.heard {
		if ip == r.self || now.Sub(at) < r.silent {
			continue
		}
		if !mine.gone[ip] {
			mine.gone[ip] = true
			r.changed[ip] = r.next()
		}
		if now.Sub(at) > forget {
			delete(mine.hosts, ip)
			delete(mine.heard, ip)
			delete(mine.gone, ip)
			delete(r.peers, ip)
		}
	}
	for relay, m := range r.realms {
		if relay != r.self && now.Sub(m.at) > forget {
			delete(r.realms, relay)
			delete(r.peers, relay)
		}
		if relay != r.self {
			m.forget(now)
		}
	}
	for host, one := range r.uses {
		if now.Sub(one.at) > usesFor {
			delete(r.uses, host)
		}
	}
}

// forget drops hosts of another realm that were told to be gone long ago.
func (m *realm) forget(now time.Time) {
	for ip, b := range m.hosts {
		if b.Gone && now.Sub(m.heard[ip]) > forget {
			delete(m.hosts, ip)
			delete(m.heard, ip)
		}
	}
}

// keeps reports whether it must stay known that a host is lost.
func (r *Roster) keeps(ip string, now time.Time) bool {
	if r.known(ip) {
		r.spoke(ip, 0, now)
	}
	return now.Sub(r.words[ip].at) <= remember
}

// known reports whether any realm still tells of a host.
func (r *Roster) known(ip string) bool {
	for _, m := range r.realms {
		if _, ok := m.hosts[ip]; ok {
			return true
		}
	}
	return false
}

// Forget drops engines that are gone.
func (r *Roster) Forget(gone func(engine string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.held {
		if gone(id) {
			delete(r.held, id)
		}
	}
}

// Find returns the newest that is known of a host; ok is false where it is not alive.
func (r *Roster) Find(ip string, now time.Time) (b status.Status, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return find(r.counting(now), ip)
}

// Living returns the newest that is known of each host that is alive.
func (r *Roster) Living(now time.Time) map[string]status.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	counting := r.counting(now)
	living := make(map[string]status.Status, len(r.changed))
	for ip := range r.changed {
		if b, ok := find(counting, ip); ok {
			living[ip] = b
		}
	}
	return living
}

// Gone reports whether a host is known to be lost: some host that counts has heard it, and none does any more. One of which nobody
// who counts says anything may well be alive.
func (r *Roster) Gone(ip string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	counting := r.counting(now)
	if _, live := find(counting, ip); live {
		return false
	}
	return slices.ContainsFunc(counting, func(m *realm) bool {
		_, ok := m.hosts[ip]
		return ok
	})
}

// Oldest returns how long ago the relay was heard that was heard longest ago, of those that count.
func (r *Roster) Oldest(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := time.Duration(0)
	for relay, m := range r.realms {
		if relay != r.self && r.fresh(relay, now) {
			oldest = max(oldest, now.Sub(m.at))
		}
	}
	return oldest
}
