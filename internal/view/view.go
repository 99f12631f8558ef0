// Package view holds a host's knowledge of the platform: the configuration, the upstreams and the adapters' versions.
package view

import (
	"maps"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/rules"
	"damaskreach/internal/target"
)

// maxNamed is how many versions of an adapter are remembered: more than are named while an older one may still serve.
const maxNamed = 8

// View is immutable; its With methods return changed copies.
type View struct {
	Rules    rules.Rules
	Targets  map[string]target.Target // by id
	Versions map[string]int           // newest version that operators have named, by "model/adapter"
	// NamedAt is when this host learned of the newest versions of each adapter; zero for one that was there when the host started.
	NamedAt map[string]map[int]time.Time

	groups *groups // of Targets; nil where those were not set by WithTargets
}

// groups indexes upstreams by group, on first use: some hosts get fewer requests than views.
type groups struct {
	once  sync.Once
	lists map[string][]target.Target
}

func (g *groups) byGroup(targets map[string]target.Target) map[string][]target.Target {
	g.once.Do(func() {
		sizes := map[string]int{}
		for _, t := range targets {
			sizes[t.Group]++
		}
		g.lists = make(map[string][]target.Target, len(sizes))
		for group, size := range sizes {
			g.lists[group] = make([]target.Target, 0, size)
		}
		for _, t := range targets {
			g.lists[t.Group] = append(g.lists[t.Group], t)
		}
	})
	return g.lists
}

// WithRules returns a copy with a newer configuration. An older one is ignored: a read that began before the newer one came must not bring
// back routes that operators have removed.
func (v View) WithRules(r rules.Rules) View {
	if r.Version >= v.Rules.Version {
		v.Rules = r
	}
	return v
}

// WithTargets returns a copy with another set of upstreams.
func (v View) WithTargets(targets map[string]target.Target) View {
	v.Targets = targets
	v.groups = &groups{}
	return v
}

// Group returns the upstreams of a group. The list is shared and must not be changed.
func (v View) Group(name string) []target.Target {
	if v.groups == nil {
		return (&groups{}).byGroup(v.Targets)[name]
	}
	return v.groups.byGroup(v.Targets)[name]
}

// WithVersion returns a copy in which operators have named a version of an adapter; an older version changes nothing.
func (v View) WithVersion(adapter string, version int, now time.Time) View {
	if version <= v.Versions[adapter] {
		return v
	}
	versions, named := maps.Clone(v.Versions), maps.Clone(v.NamedAt)
	if versions == nil {
		versions, named = map[string]int{}, map[string]map[int]time.Time{}
	}
	versions[adapter] = version
	named[adapter] = withNamed(named[adapter], version, now)
	v.Versions = versions
	v.NamedAt = named
	return v
}

// withNamed returns a copy of the times with one more, and without the oldest if there are too many. The next oldest inherits its time, so
// that ReplacedAt does not change for the versions before it.
func withNamed(times map[int]time.Time, version int, now time.Time) map[int]time.Time {
	next := maps.Clone(times)
	if next == nil {
		next = map[int]time.Time{}
	}
	next[version] = now
	if len(next) > maxNamed {
		order := slices.Sorted(maps.Keys(next))
		next[order[1]] = next[order[0]]
		delete(next, order[0])
	}
	return next
}

// ReplacedAt returns when this host learned of the first version newer than a given one, which put that out of date.
func (v View) ReplacedAt(adapter string, version int) time.Time {
	var replacedAt time.Time
	next := 0
	for newer, at := range v.NamedAt[adapter] {
		if newer > version && (next == 0 || newer < next) {
			next, replacedAt = newer, at
		}
	}
	return replacedAt
}

// HasRules reports whether a configuration is in force.
func (v View) HasRules() bool {
	return v.Rules.Version > 0
}

// Engines returns the data centre of each upstream that accepts orders, by id.
func (v View) Engines() map[string]string {
	engines := make(map[string]string, v.maxEngines())
	for id, t := range v.Targets {
		if v.Rules.Pools[t.Group].Engine {
			engines[id] = t.Centre
		}
	}
	return engines
}

// maxEngines returns an upper bound on the number of engines.
func (v View) maxEngines() int {
	for _, p := range v.Rules.Pools {
		if p.Engine {
			return len(v.Targets)
		}
	}
	return 0
}
