// Package view holds what a host believes of the platform: the configuration, the upstreams and the adapters' versions.
package view

import (
	"maps"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/rules"
	"damaskreach/internal/target"
)

// mostNamed is how many versions of an adapter are remembered: more than are named within the time for which older ones serve.
const mostNamed = 8

// View is immutable; its With methods return changed copies.
type View struct {
	Rules    rules.Rules
	Targets  map[string]target.Target // by id
	Versions map[string]int           // newest version that operators named, by "model/adapter"
	// Named is when this host learned of each of the newest versions of an adapter; zero where one was there when the host started.
	Named map[string]map[int]time.Time

	groups *groups // of Targets; nil where those were not set by WithTargets
}

// groups sorts upstreams by their groups once somebody asks: some hosts get fewer requests than views.
type groups struct {
	once sync.Once
	by   map[string][]target.Target
}

func (g *groups) of(targets map[string]target.Target) map[string][]target.Target {
	g.once.Do(func() {
		sizes := map[string]int{}
		for _, t := range targets {
			sizes[t.Group]++
		}
		g.by = make(map[string][]target.Target, len(sizes))
		for group, size := range sizes {
			g.by[group] = make([]target.Target, 0, size)
		}
		for _, t := range targets {
			g.by[t.Group] = append(g.by[t.Group], t)
		}
	})
	return g.by
}

// WithRules returns a copy with a newer configuration. An older one changes nothing: a reading that was under way when
// the newer one came must not bring back routes that operators took away.
func (v View) WithRules(r rules.Rules) View {
	if r.Version >= v.Rules.Version {
		v.Rules = r
	}
	return v
}

// WithTargets returns a copy with other upstreams.
func (v View) WithTargets(targets map[string]target.Target) View {
	v.Targets = targets
	v.groups = &groups{}
	return v
}

// Group returns the upstreams of a group. The list is shared and must not be changed.
func (v View) Group(name string) []target.Target {
	if v.groups == nil {
		return (&groups{}).of(v.Targets)[name]
	}
	return v.groups.of(v.Targets)[name]
}

// WithVersion returns a copy in which operators have named a version of an adapter; an older one changes nothing.
func (v View) WithVersion(adapter string, version int, now time.Time) View {
	if version <= v.Versions[adapter] {
		return v
	}
	versions, named := maps.Clone(v.Versions), maps.Clone(v.Named)
	if versions == nil {
		versions, named = map[string]int{}, map[string]map[int]time.Time{}
	}
	versions[adapter] = version
	named[adapter] = withNamed(named[adapter], version, now)
	v.Versions = versions
	v.Named = named
	return v
}

// withNamed returns a copy of the times with one more, and without the oldest of too many. The next one then counts from when that was named:
// for the versions before it nothing changes.
func withNamed(times map[int]time.Time, version int, now time.Time) map[int]time.Time {
	next := maps.Clone(times)
	if next == nil {
		next = map[int]time.Time{}
	}
	next[version] = now
	if len(next) > mostNamed {
		order := slices.Sorted(maps.Keys(next))
		next[order[1]] = next[order[0]]
		delete(next, order[0])
	}
	return next
}

// Replaced returns when a version of an adapter went out of date: when this host learned of the first newer one.
func (v View) Replaced(adapter string, version int) time.Time {
	var first time.Time
	next := 0
	for newer, at := range v.Named[adapter] {
		if newer > version && (next == 0 || newer < next) {
			next, first = newer, at
		}
	}
	return first
}

// Known reports whether a configuration is in force.
func (v View) Known() bool {
	return v.Rules.Version > 0
}

// Engines returns the data centre of each upstream that takes orders, by id.
func (v View) Engines() map[string]string {
	engines := make(map[string]string, v.mostEngines())
	for id, t := range v.Targets {
		if v.Rules.Pools[t.Group].Engine {
			engines[id] = t.Centre
		}
	}
	return engines
}

// mostEngines returns how many upstreams may take orders at most.
func (v View) mostEngines() int {
	for _, p := range v.Rules.Pools {
		if p.Engine {
			return len(v.Targets)
		}
	}
	return 0
}
