package adapt

import (
	"maps"
	"slices"

	"damaskreach/internal/fault"
	"damaskreach/internal/names"
)

const maxShare = 1_000_000

// Faults returns what is wrong with the row by itself; whether its tenant and group exist is not looked at.
func (a Adapter) Faults() []fault.Fault {
	faults := slices.Concat(
		names.Faults("name", a.Name),
		names.Faults("tenant", a.Tenant),
		names.Faults("group", a.Group),
		a.versionFaults(),
	)
	if a.Requests < 0 {
		faults = append(faults, fault.NewFault("requests", "%d is below 0", a.Requests))
	}
	if a.Tokens < 0 {
		faults = append(faults, fault.NewFault("tokens", "%d is below 0", a.Tokens))
	}
	return faults
}

// versionFaults demands a version with a share: without one an unversioned request could go nowhere.
func (a Adapter) versionFaults() []fault.Fault {
	const key = "versions"
	var faults []fault.Fault
	total := 0
	for _, version := range slices.Sorted(maps.Keys(a.Versions)) {
		faults = append(faults, names.Faults(key, version)...)
		share := a.Versions[version]
		if share < 0 || share > maxShare {
			faults = append(faults, fault.NewFault(key, "share %d of %q is out of range: 0 to %d", share, version, maxShare))
		}
		total += share
	}
	if total <= 0 {
		faults = append(faults, fault.NewFault(key, "no version has a share above 0"))
	}
	return faults
}
