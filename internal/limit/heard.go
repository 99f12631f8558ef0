package limit

import (
	"time"

	"damaskreach/internal/adapt"
	"damaskreach/internal/tenant"
)

const (
	handover = minute       // in which what a home knew may count that its successor does not know: its own use
	unheard  = 2 * exchange // after which what was heard is too old to begin with
)

// heard is what the home of a key told of the other nodes' use.
type heard struct {
	home  string    // life of the home
	since time.Time // when it told something first
	held  float64   // what the home before it told last
	used  float64
	at    time.Time
}

// with returns what is known after an answer. A new home has not heard of all nodes yet, and never of what its
// predecessor used itself if that is gone: for a minute its answer counts only where it is above the predecessor's last.
// An answer that is not sure is no beginning.
func (h heard) with(now time.Time, home string, sure bool, used float64) heard {
	if !sure && h.at.IsZero() {
		return h
	}
	next := heard{home: home, since: h.since, held: h.held, used: used, at: now}
	if home != h.home {
		next.since, next.held = now, h.elsewhere(now)
	}
	if now.Sub(next.since) < handover {
		next.used = max(used, next.held)
	}
	return next
}

// elsewhere returns the use of the other nodes as it was last told.
func (h heard) elsewhere(now time.Time) float64 {
	if now.Sub(h.at) >= minute {
		return 0
	}
	return h.used
}

// Among notes how many other nodes share the limits. Without others nothing is asked of a home.
func (l *Limit) Among(others int) {
	l.peers = others
}

// Unheard returns the keys of a call's limits on which the home should be asked before Admit: nothing that is new enough
// is known of their use by other nodes.
func (l *Limit) Unheard(now time.Time, a adapt.Adapter, t tenant.Tenant) []string {
	if l.peers == 0 {
		return nil
	}
	var keys []string
	for _, b := range boundsOf(a, t, 0) {
		if b.limit > 0 && now.Sub(l.meter(b.key).heard.at) >= unheard {
			keys = append(keys, b.key)
		}
	}
	return keys
}

// Learn takes in what a home told of the use of other nodes.
// With an exchange every half second, so that nothing known is older than a second, the nodes together pass a limit by at
// most one request a node, and by what answers turn out longer than expected.
func (l *Limit) Learn(now time.Time, home string, sure bool, elsewhere map[string]float64) {
	for key, used := range elsewhere {
		m := l.meter(key)
		m.heard = m.heard.with(now, home, sure, used)
	}
}
