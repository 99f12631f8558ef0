package view_test

import (
	"fmt"
	"testing"

	"damaskreach/internal/pool"
	"damaskreach/internal/rules"
	"damaskreach/internal/target"
	"damaskreach/internal/view"
)

// A host lists all engines some times in ten seconds to find unowned ones.
func BenchmarkEngines(b *testing.B) {
	for _, engines := range []int{300, 1000, 3000} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			targets := map[string]target.Target{}
			for n := range engines {
				id := fmt.Sprint("e", n)
				targets[id] = target.Target{ID: id, Group: "g", Centre: "dc"}
			}
			pools := map[string]pool.Pool{"g": {Name: "g", Engine: true}, "h": {Name: "h"}}
			v := view.View{}.WithRules(rules.Rules{Version: 1, Pools: pools}).WithTargets(targets)
			b.ReportAllocs()
			for b.Loop() {
				v.Engines()
			}
		})
	}
}
