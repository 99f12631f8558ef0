// Package rules holds the operators' configuration in force on a host.
package rules

import (
	"strings"
	"time"

	"damaskreach/internal/pool"
	"damaskreach/internal/route"
)

// Rules is immutable. The zero value knows no configuration yet.
type Rules struct {
	Version   int64                    // grows with each change by the operators
	Routes    map[string][]route.Route // by host, longest prefix first
	Pools     map[string]pool.Pool     // by name
	MaxHeader int                      // of a request, in bytes
	MaxBody   int64                    // of a request, in bytes
	HeaderFor time.Duration            // that a caller may take to send its headers
	IdleFor   time.Duration            // that a caller may leave its connection idle
}

// Match returns the route with the longest prefix of path among those of host.
func (r Rules) Match(host, path string) (route.Route, bool) {
	for _, candidate := range r.Routes[host] {
		if strings.HasPrefix(path, candidate.Prefix) {
			return candidate, true
		}
	}
	return route.Route{}, false
}
