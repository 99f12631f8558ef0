package edge

import (
	"damaskreach/internal/limits"
)

// engines returns the data centre of each upstream that needs a host for its orders, and of the parts of teams' limits that need one.
func (e *Edge) engines() map[string]string {
	v := e.intake.View()
	engines := map[string]string{}
	for id, t := range v.Targets {
		if v.Rules.Pools[t.Group].Engine {
			engines[id] = t.Centre
		}
	}
	for _, t := range v.Rules.Teams {
		if t.Limited() {
			return withParts(engines)
		}
	}
	return engines
}

// withParts adds the parts of teams' limits, which lie at one host each like the orders to an engine, in no data centre.
func withParts(engines map[string]string) map[string]string {
	for _, part := range limits.Parts() {
		engines[part] = ""
	}
	return engines
}
