package edge

import (
	"slices"
	"sort"
	"sync"

	"damaskreach/internal/mate"
	"damaskreach/internal/spread"
)

const (
	// maxFallbackHosts is how many of the strongest hosts share the work for upstreams whose owner is down.
	maxFallbackHosts = 16
	// maxKeepers is how many of the strongest hosts remember where streams began. It bounds the connections of a host.
	maxKeepers = 64
	// minWriters is how many of the strongest hosts write down for all where streams began, and hostsPerWriter from how many hosts on for each of them there are more, so
	// that what one is told does not grow with their number.
	minWriters, hostsPerWriter = 15, 40
)

// fallback holds the hosts that act in place of owners that are down, as of the last update.
type fallback struct {
	self  string
	alive map[string]mate.Mate // other hosts that are alive
	hosts []string             // act in place of owners that are down
	// keepers remember where streams began.
	keepers []string
	// writers is how many hosts write down where streams began, and writer the one that does so for this host: itself, if it is one of them.
	writers int
	writer  string
	picked  sync.Map // chosen host by upstream; a relay asks at each message for each engine in use
}

// newFallback returns the fallback hosts, given the other hosts that are alive.
func newFallback(self mate.Mate, living map[string]mate.Mate) *fallback {
	strongest := []mate.Mate{self}
	for _, m := range living {
		if len(strongest) == maxKeepers && strongest[maxKeepers-1].Before(m) {
			continue
		}
		pos := sort.Search(len(strongest), func(i int) bool { return m.Before(strongest[i]) })
		strongest = slices.Insert(strongest, pos, m)
		strongest = strongest[:min(len(strongest), maxKeepers)]
	}
	f := &fallback{self: self.IP, alive: living}
	for _, m := range strongest {
		f.keepers = append(f.keepers, m.IP)
	}
	f.hosts = f.keepers[:min(len(f.keepers), maxFallbackHosts)]
	writers := f.keepers[:min(len(f.keepers), max(minWriters, len(living)/hostsPerWriter))]
	f.writers, f.writer = len(writers), self.IP
	if !slices.Contains(writers, self.IP) {
		f.writer = spread.OwnerOf(writers, self.IP)
	}
	return f
}

// updateFallback recomputes the fallback hosts.
func (e *Edge) updateFallback() {
	var living map[string]mate.Mate
	if m := e.mates.Load(); m != nil {
		living = m.Alive()
	}
	e.fallback.Store(newFallback(e.Setup().Mate(), living))
}

// countingHost returns the host that counts the requests for an upstream without an owner.
func (e *Edge) countingHost(id string) string {
	return e.fallback.Load().pick(id)
}

func (f *fallback) pick(id string) string {
	if host, ok := f.picked.Load(id); ok {
		return host.(string)
	}
	host := spread.OwnerOf(f.hosts, id)
	f.picked.Store(id, host)
	return host
}

// turnGranter returns the host that grants turns to send prompts to an engine: its owner, or a fallback host if the owner is down.
func (e *Edge) turnGranter(id string) string {
	owner, f := e.tenure.Owner(id), e.fallback.Load()
	if _, alive := f.alive[owner]; alive || owner == f.self {
		return owner
	}
	return f.pick(id)
}

// grantsTurns reports whether this host grants the turns at an engine.
func (e *Edge) grantsTurns(id string) bool {
	return e.turnGranter(id) == e.fallback.Load().self
}
