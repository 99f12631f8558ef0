package edge

import (
	"damaskreach/internal/limits"
)

// engines returns the data centre of each upstream that needs an owner and, where there are teams, the parts of their limits. Parts have
// owners before the first limit is set: otherwise nobody could count, and all requests of its team would be refused.
func (e *Edge) engines() map[string]string {
	v := e.intake.View()
	engines := v.Engines()
	if v.Rules.Guarded {
		return withParts(engines)
	}
	return engines
}

// withParts adds the parts of teams' limits: like an engine, each has one owner, but it is in no data centre.
func withParts(engines map[string]string) map[string]string {
	for _, part := range limits.Shards() {
		engines[part] = ""
	}
	return engines
}
