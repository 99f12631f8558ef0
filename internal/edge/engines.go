package edge

import (
	"damaskreach/internal/limits"
)

// engines returns the data centre of each upstream that needs a host for its orders, and, where there are teams, the parts of their limits. Those
// have their hosts before the first limit is set: until then nobody could count, and all that its team asks for would be refused.
func (e *Edge) engines() map[string]string {
	v := e.intake.View()
	engines := v.Engines()
	if v.Rules.Guarded {
		return withParts(engines)
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
