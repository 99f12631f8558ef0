package catlog

import (
	"slices"
	"strings"

	"damaskreach/internal/adapt"
)

// pinnedMark is in the value of every row of a pinned adapter. Rows are decoded only where they have it: decoding all of
// a large table when it is read would hold up a starting node.
const pinnedMark = `"pinned"`

// pin updates the list of pinned adapters.
func (c Catalog) pin(adapters change[held]) Catalog {
	set := map[string]adapt.Adapter{}
	var drop []string
	for _, name := range adapters.keys() {
		row := adapters.set[name] // empty for an adapter that is gone
		if strings.Contains(row.value, pinnedMark) {
			if a, faults := decode[adapt.Adapter]([]byte(row.value)); len(faults) == 0 && a.Pinned {
				set[name] = a
				continue
			}
		}
		if _, before := c.pinned.Get(name); before {
			drop = append(drop, name)
		}
	}
	if len(set)+len(drop) > 0 {
		c.pinned = c.pinned.With(set, drop...)
	}
	return c
}

// Pinned returns the adapters of a group of which operators want a resident copy at all times, by name.
func (c Catalog) Pinned(group string) []adapt.Adapter {
	var found []adapt.Adapter
	for _, a := range c.pinned.All() {
		if a.Group == group {
			found = append(found, a)
		}
	}
	slices.SortFunc(found, func(a, b adapt.Adapter) int { return strings.Compare(a.Name, b.Name) })
	return found
}
