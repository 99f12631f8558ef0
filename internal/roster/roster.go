// Package roster keeps what a host knows of the others and works out which changes each of them has yet to receive.
//
// If every host reported to every other one, the messages and connections of a site would grow with the square of its hosts. Instead,
// some hosts of each data centre are relays: a host reports to one relay and receives the state of all others from it; relays exchange
// the hosts of their groups, those that report to them directly. What a host sends and keeps open doesn't grow with the number of
// hosts, except at relays, whose work grows with the hosts of one data centre.
//
// A host counts as alive while a relay with a fresh report has heard it. When a relay dies, its hosts move to another one before
// the others drop the dead relay's reports.
//
// Each roster numbers its changes. A message carries the changes since the last number that its receiver acknowledged, so the next
// message makes up for a lost one.
package roster

import (
	"crypto/rand"
	"sync"
	"time"

	"damaskreach/internal/status"
	"damaskreach/internal/stock"
	"damaskreach/internal/usage"
)

const (
	// maxBreaks is how many entries of breaks, texts on requests that broke off, are kept for hosts that have yet to receive them; each
	// takes some 60 bytes.
	maxBreaks = 2000
	// breakRetention is how long they are sent: as long as breaks count.
	breakRetention = 2 * time.Minute
	// hostRetention is how long a host is kept after its last message. A host that returns later is reported as new.
	hostRetention = time.Minute
	// lossRetention is how long a host's loss is remembered after the last relay stopped reporting it. It exceeds the time for which other
	// hosts keep what this host sent them of it.
	lossRetention = 2 * hostRetention
)

// Roster is safe for concurrent use.
type Roster struct {
	// owner returns the host that owns an engine.
	owner       func(engine string) string
	self        string
	incarnation string

	mu             sync.Mutex
	sequence       int64 // of the newest change
	silenceTimeout time.Duration
	ownStatus      status.Status
	groups         map[string]*group     // by relay; this host's own under its IP
	changed        map[string]int64      // sequence of the latest change of each host
	alive          map[string]bool       // as of the last liveness check
	lastReports    map[string]lastReport // by host
	stocks         map[string]stockEntry
	breaks         []breakEntry
	usages         map[string]hostUsage // by host
	peers          map[string]*peer
}

// lastReport is the latest report of a host by any relay. It outlives the groups that held the host, for receivers that know the
// host and have yet to learn of its loss.
type lastReport struct {
	version    int64
	reportedAt time.Time // when a group last reported the host, or stopped to
}

// group is the hosts that one relay reports.
type group struct {
	reportedAt time.Time // when the relay was last heard
	hosts      map[string]status.Status
	heardAt    map[string]time.Time // when each was last heard; in another relay's group, last reported
	silent     map[string]bool      // hosts of this host's own group that timed out
}

type stockEntry struct {
	stock.Stock
	sequence int64
	local    bool // from this host's own group
}

type breakEntry struct {
	text     string
	sequence int64
	addedAt  time.Time
	local    bool
}

// hostUsage is one host's use of engines.
type hostUsage struct {
	usages  []usage.Usage
	heardAt time.Time
	local   bool

	byOwner   map[string][]usage.Usage // usages by the owner of their engine; nil until needed
	groupedAt time.Time                // when byOwner was built
}

// peer is the state of the exchange with another host.
type peer struct {
	incarnation      string // of the peer
	seenSequence     int64  // latest of the peer's changes that this host has seen
	ackedIncarnation string // incarnation of this host that the peer acknowledged
	ackedSequence    int64  // latest of this host's changes that the peer acknowledged
}

// scope selects what a message covers. Each scope acknowledges changes on its own: a change left out of one message must not
// count as seen for the next.
type scope string

const (
	scopeSelf  scope = "host"
	scopeGroup scope = "realm" // the sender's group
	scopeAll   scope = "site"
)

// NewRoster returns the roster of a host that knows of no other. The function owner returns the host that owns an engine.
func NewRoster(self string, owner func(engine string) string) *Roster {
	return &Roster{
		owner: owner, self: self, incarnation: rand.Text(), silenceTimeout: time.Second, ownStatus: status.Status{IP: self},
		groups:  map[string]*group{self: newGroup()},
		changed: map[string]int64{}, alive: map[string]bool{}, lastReports: map[string]lastReport{},
		stocks: map[string]stockEntry{}, usages: map[string]hostUsage{},
		peers: map[string]*peer{},
	}
}

func newGroup() *group {
	return &group{hosts: map[string]status.Status{}, heardAt: map[string]time.Time{}, silent: map[string]bool{}}
}

// next numbers a change. The caller must hold r.mu, also for all methods below.
func (r *Roster) next() int64 {
	r.sequence++
	return r.sequence
}

func (r *Roster) peer(ip string) *peer {
	p, ok := r.peers[ip]
	if !ok {
		p = &peer{}
		r.peers[ip] = p
	}
	return p
}

// recordReport records that a group reports a host, or stops to.
func (r *Roster) recordReport(ip string, beat int64, now time.Time) {
	r.lastReports[ip] = lastReport{version: max(beat, r.lastReports[ip].version), reportedAt: now}
}

// isFresh reports whether a relay was heard recently enough for its group to count.
func (r *Roster) isFresh(ip string, now time.Time) bool {
	m, ok := r.groups[ip]
	return ok && (ip == r.self || now.Sub(m.reportedAt) < r.silenceTimeout)
}

// freshGroups returns the groups of the relays heard recently.
func (r *Roster) freshGroups(now time.Time) []*group {
	list := make([]*group, 0, len(r.groups))
	for relay, m := range r.groups {
		if r.isFresh(relay, now) {
			list = append(list, m)
		}
	}
	return list
}

// findNewest returns the latest status of a host among some groups, and whether it is alive.
func findNewest(among []*group, ip string) (best status.Status, ok bool) {
	for _, m := range among {
		b, here := m.hosts[ip]
		if !here || b.Gone || m.silent[ip] || ok && b.Version <= best.Version {
			continue
		}
		best, ok = b, true
	}
	return best, ok
}
