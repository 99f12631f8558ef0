// Package view holds what a host believes of the platform: the configuration, the upstreams and the adapters' versions.
package view

import (
	"time"

	"damaskreach/internal/rules"
	"damaskreach/internal/target"
)

// View is immutable; its With methods return changed copies.
type View struct {
	Rules    rules.Rules
	Targets  map[string]target.Target // by id
	Versions map[string]int           // newest version that operators named, by "model/adapter"
	Named    map[string]time.Time     // when this host learned of it; zero where it was there when the host started
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
	return v
}

// WithVersion returns a copy in which operators have named a version of an adapter; an older one changes nothing.
func (v View) WithVersion(adapter string, version int, now time.Time) View {
	if version <= v.Versions[adapter] {
		return v
	}
	versions := make(map[string]int, len(v.Versions)+1)
	named := make(map[string]time.Time, len(v.Named)+1)
	for k, old := range v.Versions {
		versions[k] = old
		named[k] = v.Named[k]
	}
	versions[adapter] = version
	named[adapter] = now
	v.Versions = versions
	v.Named = named
	return v
}

// Known reports whether a configuration is in force.
func (v View) Known() bool {
	return v.Rules.Version > 0
}
