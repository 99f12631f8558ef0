// Package builds tracks which builds of their software the upstreams of each group run.
//
// As long as a group has run a single build, any of its upstreams can go on with any stream. Where it runs several, a stream must go on at
// the build that began it, see package origin.
package builds

import (
	"maps"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/origin"
	"damaskreach/internal/target"
)

// Builds may be used from several goroutines. The zero value knows no group.
type Builds struct {
	mu     sync.Mutex
	groups map[string]map[string]seen
}

// seen is when a host saw upstreams of one build.
type seen struct {
	first time.Time // zero where the build served before this host started
	last  time.Time
}

// Observe records the upstreams that are registered now. It returns the groups that are newly known to run several builds.
func (b *Builds) Observe(targets map[string]target.Target, now time.Time) (mixed []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.groups == nil {
		b.groups = map[string]map[string]seen{}
	}
	before := map[string]int{}
	for group, list := range b.groups {
		before[group] = len(list)
	}
	for _, t := range targets {
		s, known := b.groups[t.Group][t.Build]
		if !known {
			s.first = now
		}
		s.last = now
		b.set(t.Group, t.Build, s)
	}
	b.forget(now)
	for group, list := range b.groups {
		if len(list) > 1 && before[group] <= 1 {
			mixed = append(mixed, group)
		}
	}
	return mixed
}

func (b *Builds) set(group, build string, s seen) {
	if b.groups[group] == nil {
		b.groups[group] = map[string]seen{}
	}
	b.groups[group][build] = s
}

// forget drops builds none of whose streams can be resumed any more.
func (b *Builds) forget(now time.Time) {
	for group, list := range b.groups {
		maps.DeleteFunc(list, func(_ string, s seen) bool { return now.Sub(s.last) > origin.Retention })
		if len(list) == 0 {
			delete(b.groups, group)
		}
	}
}

// Restore adds builds that served before this host started, as All has returned them at another host.
func (b *Builds) Restore(groups map[string][]string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for group, list := range groups {
		for _, build := range list {
			if s, known := b.groups[group][build]; known {
				s.first = time.Time{}
				b.set(group, build, s)
				continue
			}
			if b.groups == nil {
				b.groups = map[string]map[string]seen{}
			}
			b.set(group, build, seen{last: now})
		}
	}
}

// Sole returns the build of a group's upstreams if all have run the same for as long as a stream can be resumed.
func (b *Builds) Sole(group string) (build string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.groups[group]) != 1 {
		return "", false
	}
	for build := range b.groups[group] {
		return build, true
	}
	return "", false
}

// Of returns the builds that a group runs or has just run, sorted.
func (b *Builds) Of(group string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Sorted(maps.Keys(b.groups[group]))
}

// Recent returns the builds of a group that this host has known for less than a time, in which the other hosts learn of them too.
func (b *Builds) Recent(group string, within time.Duration, now time.Time) (list []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for build, s := range b.groups[group] {
		if !s.first.IsZero() && now.Sub(s.first) < within {
			list = append(list, build)
		}
	}
	return list
}

// Mixed reports whether any group runs or has just run several builds.
func (b *Builds) Mixed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, list := range b.groups {
		if len(list) > 1 {
			return true
		}
	}
	return false
}

// All returns the builds that each group runs or has just run, sorted.
func (b *Builds) All() map[string][]string {
	b.mu.Lock()
	defer b.mu.Unlock()
	groups := map[string][]string{}
	for group, list := range b.groups {
		groups[group] = slices.Sorted(maps.Keys(list))
	}
	return groups
}
