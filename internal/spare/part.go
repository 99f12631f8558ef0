package spare

import (
	"maps"

	"damaskreach/internal/used"
)

// part returns what this host may use of the constant extra for a group, and the number of hosts that share the bound.
func (s *Spare) part(group string, c *counts) (extra float64, hosts int) {
	_, extra, _ = s.Bound()
	before, ok := s.Part()
	hosts = max(s.Hosts(), c.mostHosts(), before.Hosts)
	if !ok || s.closed {
		return 0, hosts
	}
	return max(0, usableShare*extra/float64(hosts)-before.Groups[group]), hosts
}

// Close ends the use of this host's part of the constant extra and returns what was used of it, for the next process on this host. Retries for the share of
// the requests go on.
func (s *Spare) Close() used.Used {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	share, _, _ := s.Bound()
	before, _ := s.Part()
	all := used.Used{Hosts: before.Hosts, Groups: map[string]float64{}}
	maps.Copy(all.Groups, before.Groups)
	for group := range s.groups {
		c := s.advance(group)
		all.Hosts = max(all.Hosts, c.mostHosts())
		if retries, allowed := s.leastRoom(share, s.settle(c), c); retries > allowed {
			all.Groups[group] += retries - allowed
		}
	}
	return all
}
