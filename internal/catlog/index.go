package catlog

import (
	"slices"
	"strings"
	"sync"

	"damaskreach/internal/runner"
	"damaskreach/internal/tune"
)

// index updates what is kept decoded; c still holds the rows before the change.
func (c Catalog) index(good map[string]change[held]) Catalog {
	tenants := good[KindTenant]
	for _, name := range tenants.keys() {
		c = c.claim(name, tenants.set[name])
	}
	if runners := good[KindRunner]; len(runners.keys()) > 0 {
		c = c.enlist(runners)
		c.all = sync.OnceValue(c.sortRunners)
	}
	c = c.pin(good[KindAdapter])
	if options := good[KindTune]; len(options.keys()) > 0 {
		c.tune = tune.Default()
		if row, ok := options.set[""]; ok {
			c.tune, _ = decodeTune([]byte(row.value))
		}
	}
	return c
}

// enlist renews the lists of the groups that the changed runners belong to or belonged to.
// Each list is built once a batch: one insertion at a time would be quadratic when all rows are read at the start.
func (c Catalog) enlist(runners change[held]) Catalog {
	touched := make(map[string]bool) // groups that a runner left or joined
	joined := make(map[string][]runner.Runner)
	for _, name := range runners.keys() {
		if before, ok := c.Runner(name); ok {
			touched[before.Group] = true
		}
		if row, ok := runners.set[name]; ok {
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
			if _, ok := runners.set[r.Name]; !ok && !runners.lost[r.Name] {
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
