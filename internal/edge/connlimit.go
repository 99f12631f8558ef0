package edge

const (
	// minConns is the minimum a host may have of connections to one upstream, however many hosts there are.
	minConns = 2
	// connFilesDivisor limits connections to one upstream to 1/connFilesDivisor of the process's file descriptors.
	connFilesDivisor = 4
)

// maxConns returns this host's share of the connections that an upstream accepts.
func (e *Edge) maxConns(addr string) int {
	v := e.intake.View()
	for _, t := range v.Targets {
		if t.Addr == addr {
			share := v.Rules.Pools[t.Group].MaxConns * 9 / 10 / e.hostCount()
			return max(minConns, min(share, e.Setup().Files/connFilesDivisor))
		}
	}
	return 0
}

// hostCount returns how many hosts share the budgets of retries and of connections to upstreams. Hosts out of contact count too: a host
// that loses its relays hears from nobody, and dozens of hosts that each used the whole budget would send upstreams many times what is
// allowed.
func (e *Edge) hostCount() int {
	return e.tenure.HostCount()
}
