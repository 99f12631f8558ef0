package edge

import (
	"damaskreach/internal/conns"
	"damaskreach/internal/room"
	"damaskreach/internal/setup"
	"damaskreach/internal/stats"
)

const (
	// callerRoomShare is the part of the process's memory that callers may take with what they send, beside what each connection takes anyway: one in so many
	// bytes.
	callerRoomShare = 3
	// connMemoryShare is the part of the process's memory that callers' connections may take, and connCost what one takes without a request, its buffers in the
	// kernel included, in bytes.
	connMemoryShare = 0.4
	connCost        = 80 << 10
	// connFileShare is the part of the process's descriptors that callers' connections may take: one in so many. The rest is for upstreams, other hosts, the store and
	// the other ports.
	connFileShare = 2
	// lookupShare and scrapeShare are how many connections the ports for lookups, and those for probes and scrapers, may have for each of callers: one in so many.
	lookupShare = 4
	scrapeShare = 16
	// pendingShare is the part of the process's descriptors that connections to the port for other hosts may take until they have proved themselves: one in so many.
	pendingShare = 8
)

// mostConns returns how many connections of callers may be open.
func mostConns(s setup.Setup) int {
	if s.Conns > 0 {
		return s.Conns
	}
	byMemory := int(connMemoryShare * float64(s.Memory<<20) / connCost)
	return max(1, min(byMemory, s.Files/connFileShare))
}

// boundCallers bounds what connections from outside take, all together and on each port. Callers that nobody controls would otherwise fill the memory of the process or
// take the descriptors that it needs for upstreams and the store.
func (e *Edge) boundCallers(s setup.Setup) {
	all := room.NewRoom(s.Memory<<20/callerRoomShare, func() { e.Stats.Add(stats.CallersDropped, 1) })
	most := mostConns(s)
	for _, p := range []struct {
		name  string
		conns *conns.Conns
		most  int
	}{
		{"callers", &e.conns, most},
		{"lookup", &e.lookups, most / lookupShare},
		{"ready", &e.probes, most / scrapeShare},
		{"metrics", &e.scrapes, most / scrapeShare},
	} {
		p.conns.Room, p.conns.Most = all, max(1, p.most)
		p.conns.Refused = func() { e.Stats.Add(stats.ConnsRefused, 1, "port", p.name) }
		e.Stats.Gauge(stats.ConnsOpen, func() float64 { return float64(p.conns.Open()) }, "port", p.name)
	}
	e.Stats.Gauge(stats.CallerBytes, func() float64 { return float64(all.Taken()) })
}
