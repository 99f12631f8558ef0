package proxy

import (
	"slices"

	"damaskreach/internal/target"
)

// filter returns the upstreams of a list that are wanted. It returns the list itself if all are, as is usual, so callers must
// change neither.
func filter(list []target.Target, wanted func(t target.Target) bool) []target.Target {
	firstUnwanted := slices.IndexFunc(list, func(t target.Target) bool { return !wanted(t) })
	if firstUnwanted < 0 {
		return list
	}
	result := append(make([]target.Target, 0, len(list)), list[:firstUnwanted]...)
	for _, t := range list[firstUnwanted+1:] {
		if wanted(t) {
			result = append(result, t)
		}
	}
	return result
}

// except returns the engines of a list that are neither in a nor in b.
func except(list, a, b []target.Target) []target.Target {
	return filter(list, func(t target.Target) bool { return !contains(a, t) && !contains(b, t) })
}

func contains(list []target.Target, t target.Target) bool {
	return slices.ContainsFunc(list, t.SameIncarnation)
}

func withoutID(list []target.Target, id string) []target.Target {
	return filter(list, func(t target.Target) bool { return t.ID != id })
}
