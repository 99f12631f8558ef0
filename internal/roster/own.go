package roster

import (
	"time"

	"damaskreach/internal/status"
	"damaskreach/internal/stock"
	"damaskreach/internal/usage"
)

// repeatInterval is how often an unchanged status is sent again: receivers rely on request counts for a few seconds only.
const repeatInterval = time.Second

// Report sets this host's own status, its use of engines and new broken requests.
func (r *Roster) Report(own status.Status, usages []usage.Usage, breaks []string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own.IP = r.self
	old := r.ownStatus
	stale := len(own.Requests)+len(own.PromptWaits) > 0 && now.UnixMilli()-old.Version >= repeatInterval.Milliseconds()
	if old.Version == 0 || stale || !own.SameContent(old) {
		own.Version = max(now.UnixMilli(), old.Version+1)
		r.ownStatus = own
		r.setStatus(r.self, own, now)
	}
	r.groups[r.self].heardAt[r.self] = now
	r.usages[r.self] = hostUsage{usages: usages, heardAt: now, local: true}
	for _, text := range breaks {
		r.addBreak(text, true, now)
	}
}

// UpdateStock sets the stock of an engine that this host owns.
func (r *Roster) UpdateStock(s stock.Stock) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addStock(s, true)
}

// setStatus sets the status of a host of this host's own group.
func (r *Roster) setStatus(ip string, b status.Status, now time.Time) {
	own := r.groups[r.self]
	r.markHeard(ip, now)
	if old, ok := own.hosts[ip]; ok && old.Version >= b.Version {
		return
	}
	own.hosts[ip] = b
	r.changed[ip] = r.next()
	r.recordReport(ip, b.Version, now)
}

// markHeard records that a host of this host's own group was heard.
func (r *Roster) markHeard(ip string, now time.Time) {
	own := r.groups[r.self]
	own.heardAt[ip] = now
	if own.silent[ip] {
		delete(own.silent, ip)
		r.changed[ip] = r.next()
	}
}

func (r *Roster) addStock(s stock.Stock, local bool) {
	old, ok := r.stocks[s.ID]
	if ok && (old.Incarnation > s.Incarnation || old.Incarnation == s.Incarnation && old.Sequence > s.Sequence) {
		return
	}
	r.stocks[s.ID] = stockEntry{Stock: s, sequence: r.next(), local: local}
}

func (r *Roster) addBreak(text string, local bool, now time.Time) {
	if len(r.breaks) >= maxBreaks {
		r.breaks = append(r.breaks[:0], r.breaks[maxBreaks/2:]...)
	}
	r.breaks = append(r.breaks, breakEntry{text: text, sequence: r.next(), addedAt: now, local: local})
}
