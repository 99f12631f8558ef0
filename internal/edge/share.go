package edge

const (
	// leastConns is how many connections to an upstream a host may have at least, however many hosts there are.
	leastConns = 2
	// filesShare is the part of the process's descriptors that the connections to one upstream may take.
	filesShare = 4
)

// mostConns returns this host's part of the connections that an upstream takes.
func (e *Edge) mostConns(addr string) int {
	v := e.intake.View()
	for _, t := range v.Targets {
		if t.Addr == addr {
			share := v.Rules.Pools[t.Group].MaxConns * 9 / 10 / e.count()
			return max(leastConns, min(share, e.Setup().Files/filesShare))
		}
	}
	return 0
}

// count returns how many hosts share what all may use together: second tries and connections to upstreams. Those that this host does not
// hear at the moment count too: where it loses its relays it hears nobody, and dozens of hosts that each took the whole for
// itself would send upstreams many times what they may.
func (e *Edge) count() int {
	return e.tenure.Count()
}
