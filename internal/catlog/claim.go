package catlog

import (
	"encoding/json"
	"slices"
	"strings"

	"damaskreach/internal/fault"
	"damaskreach/internal/tenant"
)

// claim records which API keys a tenant has now; c still holds the tenant's former row.
func (c Catalog) claim(name string, row held) Catalog {
	before, _ := c.good[KindTenant].Get(name)
	set := make(map[string][]string)
	for _, sum := range sums(before.value) {
		set[sum] = slices.DeleteFunc(c.claimants(sum), func(other string) bool { return other == name })
	}
	for _, sum := range sums(row.value) {
		if _, ok := set[sum]; !ok {
			set[sum] = c.claimants(sum)
		}
		set[sum] = append(set[sum], name)
	}
	var drop []string
	for sum, tenants := range set {
		if len(tenants) == 0 {
			drop = append(drop, sum)
			delete(set, sum)
		}
	}
	c.claims = c.claims.With(set, drop...)
	return c
}

// claimants returns a copy of the names of the tenants that claim an API key.
func (c Catalog) claimants(sum string) []string {
	tenants, _ := c.claims.Get(sum)
	return slices.Clone(tenants)
}

// disputed returns a fault for each tenant that claims an API key which another one claims too.
func (c Catalog) disputed() []fault.Fault {
	var faults []fault.Fault
	for _, sum := range c.claims.Keys() {
		tenants, _ := c.claims.Get(sum)
		if len(tenants) < 2 {
			continue
		}
		names := slices.Sorted(slices.Values(tenants))
		for _, name := range names {
			row, _ := c.good[KindTenant].Get(name)
			faults = append(faults, fault.NewFault(Key(KindTenant, name), "the API key with SHA-256 %s is claimed by %q and admits nobody", sum, names).WithRev(row.rev))
		}
	}
	return faults
}

// sums returns the SHA-256 of the API keys in an encoded tenant.
func sums(value string) []string {
	var row tenant.Tenant
	if value == "" || json.Unmarshal([]byte(value), &row) != nil {
		return nil
	}
	for i, key := range row.Keys {
		row.Keys[i] = strings.ToLower(key)
	}
	return row.Keys
}
