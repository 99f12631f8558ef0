// Package rules holds the operators' configuration in force on a host.
package rules

import (
	"strings"
	"time"

	"damaskreach/internal/apikey"
	"damaskreach/internal/pool"
	"damaskreach/internal/route"
	"damaskreach/internal/team"
)

// Rules is immutable. The zero value knows no configuration yet.
type Rules struct {
	Version   int64                    // grows with each change by the operators
	Routes    map[string][]route.Route // by host, longest prefix first
	Pools     map[string]pool.Pool     // by name
	Guarded   bool                     // callers need a key but on public routes
	Teams     map[string]team.Team     // by name
	Keys      map[apikey.Key]string    // name of the team that each key belongs to
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

// WithWeights returns the rules with the weight of each team that has a limit: what the limit entitles it to, beside the mean of the teams whose
// limits count the same.
func (r Rules) WithWeights() Rules {
	sums, counts := map[bool]float64{}, map[bool]float64{}
	for _, t := range r.Teams {
		if t.Rate > 0 {
			sums[t.Tokens] += t.Rate
			counts[t.Tokens]++
		}
	}
	teams := make(map[string]team.Team, len(r.Teams))
	for name, t := range r.Teams {
		if t.Rate > 0 {
			t.Weight = t.Rate * counts[t.Tokens] / sums[t.Tokens]
		}
		teams[name] = t
	}
	r.Teams = teams
	return r
}

// Holder returns the team that a key belongs to.
func (r Rules) Holder(k apikey.Key) (team.Team, bool) {
	name, ok := r.Keys[k]
	return r.Teams[name], ok
}
