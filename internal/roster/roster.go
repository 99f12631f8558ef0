// Package roster keeps what a host knows of the others, and works out what each of them has not heard yet.
//
// Were each host to tell every other one, messages and connections of a site would grow with the square of its hosts. So some hosts
// of each data centre are relays: a host tells one of them of itself, and hears from it of all others; relays tell each other of
// the hosts that they hear themselves. What a host sends and keeps open does not grow with the number of hosts but for the
// relays, whose work grows with the hosts of one data centre.
//
// A host counts as alive while some relay hears it that is heard itself. Where a relay dies, its hosts go to another one before
// the others give up what the dead one said of them.
//
// Each roster numbers its changes. A message tells the changes since the newest number that its receiver is known to have seen,
// so that one that got lost is made up for by the next.
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
	// mostBroke is how many breaks are kept for those that have not heard of them, some 60 bytes each.
	mostBroke = 2000
	// forget is how long after its last message a host is kept. A host that comes back is told of as if it were new.
	forget = time.Minute
	// remember is how long it stays known that a host of which nobody speaks is lost: longer than others keep what this host told them.
	remember = 2 * forget
)

// Roster may be used from several goroutines.
type Roster struct {
	// Owner returns the host that gives an engine its orders.
	owner func(engine string) string
	self  string
	start string

	mu      sync.Mutex
	number  int64 // of the newest change
	silent  time.Duration
	own     status.Status
	realms  map[string]*realm // by the host that speaks for them; this host's own under its IP
	changed map[string]int64  // number of the newest change of each host
	alive   map[string]bool   // as of the last look
	words   map[string]word   // newest of each host
	held    map[string]stocked
	broke   []broken
	uses    map[string]using // by host
	peers   map[string]*peer
}

// word is the newest that any host said of one. It outlasts the realms that spoke of it, for those that were told so and have yet to hear that
// the host is lost.
type word struct {
	beat int64
	at   time.Time // when a realm last spoke of the host, or ceased to
}

// realm is the hosts that one host speaks for.
type realm struct {
	at    time.Time // when it was last heard
	hosts map[string]status.Status
	heard map[string]time.Time // when each was last heard; in another realm when anything was told of it
	gone  map[string]bool      // in this host's own realm: those that were not heard for too long
}

type stocked struct {
	stock.Stock
	number int64
	own    bool // told by a host of this host's own realm
}

type broken struct {
	text   string
	number int64
	own    bool
}

// using is what one host has at engines.
type using struct {
	list []usage.Usage
	at   time.Time // when it was heard
	own  bool

	owners   map[string][]usage.Usage // list by who gives the engines their orders; nil until it is asked for
	ownersAt time.Time                // as of when
}

// peer is what was said between this host and another one.
type peer struct {
	start string // of the other's numbers
	seen  int64  // newest of its changes that this host has seen
	of    string // start of this host's numbers that it has seen
	acked int64  // newest of them
}

// scope is what a message tells of. Each has numbers of its own for its receiver: a change that was left out of one message
// must not count as seen for the next.
type scope string

const (
	itself scope = "host"
	realms scope = "realm" // of the sender
	all    scope = "site"
)

// NewRoster returns the roster of a host that knows of no other. Owner returns the host that gives an engine its orders.
func NewRoster(self string, owner func(engine string) string) *Roster {
	return &Roster{
		owner: owner, self: self, start: rand.Text(), silent: time.Second, own: status.Status{IP: self},
		realms:  map[string]*realm{self: newRealm()},
		changed: map[string]int64{}, alive: map[string]bool{}, words: map[string]word{}, held: map[string]stocked{}, uses: map[string]using{},
		peers: map[string]*peer{},
	}
}

func newRealm() *realm {
	return &realm{hosts: map[string]status.Status{}, heard: map[string]time.Time{}, gone: map[string]bool{}}
}

// next numbers a change. It needs the lock, as do all that follow.
func (r *Roster) next() int64 {
	r.number++
	return r.number
}

func (r *Roster) peer(ip string) *peer {
	p, ok := r.peers[ip]
	if !ok {
		p = &peer{}
		r.peers[ip] = p
	}
	return p
}

// spoke notes that a realm speaks of a host, or ceases to.
func (r *Roster) spoke(ip string, beat int64, now time.Time) {
	r.words[ip] = word{beat: max(beat, r.words[ip].beat), at: now}
}

// fresh reports whether what a host says of those that it speaks for counts.
func (r *Roster) fresh(ip string, now time.Time) bool {
	m, ok := r.realms[ip]
	return ok && (ip == r.self || now.Sub(m.at) < r.silent)
}

// counting returns the realms of the hosts whose word counts.
func (r *Roster) counting(now time.Time) []*realm {
	list := make([]*realm, 0, len(r.realms))
	for relay, m := range r.realms {
		if r.fresh(relay, now) {
			list = append(list, m)
		}
	}
	return list
}

// find returns the newest that some realms tell of a host, and whether it is alive.
func find(among []*realm, ip string) (best status.Status, ok bool) {
	for _, m := range among {
		b, here := m.hosts[ip]
		if !here || b.Gone || m.gone[ip] || ok && b.Version <= best.Version {
			continue
		}
		best, ok = b, true
	}
	return best, ok
}
