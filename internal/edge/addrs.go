package edge

// upstreamAddrs returns the distinct addresses of the upstreams.
func (e *Edge) upstreamAddrs() []string {
	v := e.intake.View()
	seen := make(map[string]bool, len(v.Targets))
	addrs := make([]string, 0, len(v.Targets))
	for _, t := range v.Targets {
		if !seen[t.Addr] {
			seen[t.Addr] = true
			addrs = append(addrs, t.Addr)
		}
	}
	return addrs
}
