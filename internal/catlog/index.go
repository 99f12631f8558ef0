package catlog

import (
	"slices"
	"strings"
	"sync"

	"damaskreach/internal/runner"
	"damaskreach/internal/tune"
)

// index updates what is kept decoded; next still holds the rows before the change.
func (b *batch) index(next Catalog) Catalog {
	for name, row := range b.good[KindTenant] {
		next = next.claim(name, row)
	}
	if changed := b.good[KindRunner]; len(changed) > 0 {
		next = next.enlist(changed)
		next.all = sync.OnceValue(next.sortRunners)
	}
	if row, ok := b.good[KindTune][""]; ok {
		next.tune = tune.Default()
		if row.value != "" {
			next.tune, _ = decodeTune([]byte(row.value))
		}
	}
	return next
}

// enlist renews the lists of the groups that the changed runners belong to or belonged to.
// Each list is built once a batch: one insertion at a time would be quadratic when all rows are read at the start.
func (c Catalog) enlist(changed map[string]held) Catalog {
	touched := make(map[string]bool) // groups that a runner left or joined
	joined := make(map[string][]runner.Runner)
	for name, row := range changed {
		if before, ok := c.Runner(name); ok {
			touched[before.Group] = true
		}
		if row.value != "" {
			now, _ := decode[runner.Runner]([]byte(row.value))
			touched[now.Group] = true
			joined[now.Group] = append(joined[now.Group], now)
		}
	}
	lists := make(map[string][]runner.Runner, len(touched))
	var empty []string
	for group := range touched {
		list := joined[group]
		for _, r := range c.Runners(group) {
			if _, ok := changed[r.Name]; !ok {
				list = append(list, r)
			}
		}
		if len(list) == 0 {
			empty = append(empty, group)
			continue
		}
		slices.SortFunc(list, byName)
		lists[group] = list
	}
	c.runners = c.runners.With(lists, empty...)
	return c
}

func (c Catalog) sortRunners() []runner.Runner {
	var all []runner.Runner
	for _, list := range c.runners.All() {
		all = append(all, list...)
	}
	slices.SortFunc(all, byName)
	return all
}

func byName(a, b runner.Runner) int {
	return strings.Compare(a.Name, b.Name)
}
