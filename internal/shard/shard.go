// Package shard holds an immutable map that is cheap to change.
package shard

import (
	"cmp"
	"hash/maphash"
	"iter"
	"maps"
	"slices"
)

// count is the number of shards: a change of one entry copies one shard of them and the list of shards.
const count = 256

// seed is the same for all maps of a process, so that a copy finds its entries in the same shards.
var seed = maphash.MakeSeed()

// Map is immutable; its zero value is empty.
// With returns a changed copy that shares every shard that did not change.
// Shards are sorted slices, which need no spare room and are searched in a few steps.
type Map[K cmp.Ordered, V any] struct {
	shards *[count][]entry[K, V]
	size   int
}

type entry[K cmp.Ordered, V any] struct {
	key   K
	value V
}

// NewMap returns an empty map.
func NewMap[K cmp.Ordered, V any]() Map[K, V] {
	return Map[K, V]{shards: new([count][]entry[K, V])}
}

// Len returns the number of entries.
func (m Map[K, V]) Len() int {
	return m.size
}

// Get returns the value of a key and whether there is one.
func (m Map[K, V]) Get(key K) (V, bool) {
	var none V
	if m.shards == nil {
		return none, false
	}
	part := m.shards[place(key)]
	at, ok := find(part, key)
	if !ok {
		return none, false
	}
	return part[at].value, true
}

// With returns a copy in which every key of set has its value there and no key of drop is present.
func (m Map[K, V]) With(set map[K]V, drop ...K) Map[K, V] {
	if len(set) == 0 && len(drop) == 0 {
		return m
	}
	next := NewMap[K, V]()
	next.size = m.size
	if m.shards != nil {
		*next.shards = *m.shards
	}
	touched := make(map[int][]entry[K, V])
	for _, key := range slices.Sorted(maps.Keys(set)) {
		at := place(key)
		touched[at] = append(touched[at], entry[K, V]{key, set[key]})
	}
	for at, changes := range touched {
		before := len(next.shards[at])
		next.shards[at] = merge(next.shards[at], changes)
		next.size += len(next.shards[at]) - before
	}
	for _, key := range drop {
		next.drop(key)
	}
	return next
}

// drop removes a key from a map that nobody else sees yet.
func (m *Map[K, V]) drop(key K) {
	at := place(key)
	part := m.shards[at]
	i, ok := find(part, key)
	if !ok {
		return
	}
	m.shards[at] = slices.Concat(part[:i], part[i+1:])
	m.size--
}

// All yields the entries in no particular order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.shards == nil {
			return
		}
		for _, part := range m.shards {
			for _, e := range part {
				if !yield(e.key, e.value) {
					return
				}
			}
		}
	}
}

// Keys returns all keys, sorted.
func (m Map[K, V]) Keys() []K {
	keys := make([]K, 0, m.size)
	for key := range m.All() {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func place[K cmp.Ordered](key K) int {
	return int(maphash.Comparable(seed, key) % count)
}

func find[K cmp.Ordered, V any](part []entry[K, V], key K) (int, bool) {
	return slices.BinarySearchFunc(part, key, func(e entry[K, V], key K) int { return cmp.Compare(e.key, key) })
}

// merge returns a new sorted slice of exact size; entries of changes replace those of part.
func merge[K cmp.Ordered, V any](part, changes []entry[K, V]) []entry[K, V] {
	out := make([]entry[K, V], 0, len(part)+len(changes))
	for len(part) > 0 && len(changes) > 0 {
		order := cmp.Compare(part[0].key, changes[0].key)
		if order < 0 {
			out = append(out, part[0])
			part = part[1:]
			continue
		}
		out = append(out, changes[0])
		changes = changes[1:]
		if order == 0 {
			part = part[1:]
		}
	}
	out = append(out, part...)
	out = append(out, changes...)
	return slices.Clip(out)
}
