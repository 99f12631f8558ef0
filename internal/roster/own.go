package roster

import (
	"time"

	"damaskreach/internal/status"
	"damaskreach/internal/stock"
	"damaskreach/internal/usage"
)

// repeat is how often what has not changed is told again: receivers believe counts of requests for a few seconds.
const repeat = time.Second

// Note takes what this host tells of itself, and what its requests use.
func (r *Roster) Note(own status.Status, uses []usage.Usage, broke []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own.IP = r.self
	old := r.own
	stale := len(own.Requests)+len(own.PromptWaits) > 0 && now.UnixMilli()-old.Version >= repeat.Milliseconds()
	if old.Version == 0 || stale || !own.SameContent(old) {
		own.Version = max(now.UnixMilli(), old.Version+1)
		r.own = own
		r.put(r.self, own, now)
	}
	r.realms[r.self].heard[r.self] = now
	r.uses[r.self] = using{list: uses, at: now, own: true}
	for _, text := range broke {
		r.addBroke(text, true)
	}
}

// Held takes what an engine holds that this host orders.
func (r *Roster) Held(s stock.Stock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addHeld(s, true)
}

// put records what is known of a host of this host's own realm.
func (r *Roster) put(ip string, b status.Status, now time.Time) {
	mine := r.realms[r.self]
	r.hears(ip, now)
	if old, ok := mine.hosts[ip]; ok && old.Version >= b.Version {
		return
	}
	mine.hosts[ip] = b
	r.changed[ip] = r.next()
	r.spoke(ip, b.Version, now)
}

// hears records that a host of this host's own realm was heard.
func (r *Roster) hears(ip string, now time.Time) {
	mine := r.realms[r.self]
	mine.heard[ip] = now
	if mine.gone[ip] {
		delete(mine.gone, ip)
		r.changed[ip] = r.next()
	}
}

func (r *Roster) addHeld(s stock.Stock, own bool) {
	old, ok := r.held[s.ID]
	if ok && (old.Incarnation > s.Incarnation || old.Incarnation == s.Incarnation && old.Sequence > s.Sequence) {
		return
	}
	r.held[s.ID] = stocked{Stock: s, number: r.next(), own: own}
}

func (r *Roster) addBroke(text string, own bool) {
	if len(r.broke) >= mostBroke {
		r.broke = append(r.broke[:0], r.broke[mostBroke/2:]...)
	}
	r.broke = append(r.broke, broken{text: text, number: r.next(), own: own})
}
