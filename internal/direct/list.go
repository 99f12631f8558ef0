package direct

import (
	"slices"

	"damaskreach/internal/target"
)

// kept returns the upstreams of a list that are wanted: the list itself where all are, which mostly is so. Neither may be changed.
func kept(list []target.Target, wanted func(t target.Target) bool) []target.Target {
	odd := slices.IndexFunc(list, func(t target.Target) bool { return !wanted(t) })
	if odd < 0 {
		return list
	}
	some := append(make([]target.Target, 0, len(list)), list[:odd]...)
	for _, t := range list[odd+1:] {
		if wanted(t) {
			some = append(some, t)
		}
	}
	return some
}

// except returns the engines of a list that are in neither of two others.
func except(list, some, more []target.Target) []target.Target {
	return kept(list, func(t target.Target) bool { return !among(some, t) && !among(more, t) })
}

func among(list []target.Target, t target.Target) bool {
	return slices.ContainsFunc(list, t.SameIncarnation)
}

func without(list []target.Target, id string) []target.Target {
	return kept(list, func(t target.Target) bool { return t.ID != id })
}
