package catlog

import (
	"maps"
	"slices"
)

// change is what happens to one of the catalog's maps.
type change[V any] struct {
	set  map[string]V
	lost map[string]bool
}

func newChange[V any]() change[V] {
	return change[V]{set: make(map[string]V), lost: make(map[string]bool)}
}

// put sets a key, or drops it where present is false.
func (c change[V]) put(key string, value V, present bool) {
	if present {
		c.set[key] = value
		return
	}
	c.lost[key] = true
}

// drop returns the keys to drop.
func (c change[V]) drop() []string {
	return slices.Collect(maps.Keys(c.lost))
}

// keys yields the keys set and dropped.
func (c change[V]) keys() []string {
	return slices.AppendSeq(c.drop(), maps.Keys(c.set))
}
