package edge

import (
	"damaskreach/internal/limits"
	"damaskreach/internal/target"
)

// engines returns the upstreams that need a host for their orders, and the parts of teams' limits that need one.
func (e *Edge) engines() map[string]target.Target {
	v := e.intake.View()
	engines := map[string]target.Target{}
	for id, t := range v.Targets {
		if v.Rules.Pools[t.Group].Engine {
			engines[id] = t
		}
	}
	for _, t := range v.Rules.Teams {
		if t.Limited() {
			return withParts(engines)
		}
	}
	return engines
}

// withParts adds the parts of teams' limits, which lie at one host each like the orders to an engine.
func withParts(engines map[string]target.Target) map[string]target.Target {
	for _, part := range limits.Parts() {
		engines[part] = target.Target{ID: part}
	}
	return engines
}
