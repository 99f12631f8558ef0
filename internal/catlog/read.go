package catlog

import (
	"crypto/sha256"
	"encoding/hex"

	"damaskreach/internal/adapt"
	"damaskreach/internal/group"
	"damaskreach/internal/runner"
	"damaskreach/internal/tenant"
	"damaskreach/internal/tune"
)

// Adapter returns the last good row of an adapter. Its tenant and group may be unknown still.
func (c Catalog) Adapter(name string) (adapt.Adapter, bool) {
	return get[adapt.Adapter](c, KindAdapter, name)
}

// Tenant returns the last good row of a tenant.
func (c Catalog) Tenant(name string) (tenant.Tenant, bool) {
	return get[tenant.Tenant](c, KindTenant, name)
}

// TenantByKey returns the tenant that an API key belongs to.
// A key that two tenants claim belongs to neither: whichever were chosen, one tenant's requests
// could be served from the other's adapters. Its callers are refused until an operator takes the key from one of them.
func (c Catalog) TenantByKey(apiKey string) (tenant.Tenant, bool) {
	sum := sha256.Sum256([]byte(apiKey))
	tenants, _ := c.claims.Get(hex.EncodeToString(sum[:]))
	if len(tenants) != 1 {
		return tenant.Tenant{}, false
	}
	return c.Tenant(tenants[0])
}

// Group returns the last good row of an upstream group.
func (c Catalog) Group(name string) (group.Group, bool) {
	return get[group.Group](c, KindGroup, name)
}

// Runner returns the last good row of a runner.
func (c Catalog) Runner(name string) (runner.Runner, bool) {
	return get[runner.Runner](c, KindRunner, name)
}

// Runners returns the runners of a group, sorted by name. The slice is shared: it must not be changed.
func (c Catalog) Runners(group string) []runner.Runner {
	list, _ := c.runners.Get(group)
	return list
}

// AllRunners returns all runners, sorted by name. The slice is shared: it must not be changed.
func (c Catalog) AllRunners() []runner.Runner {
	return c.all()
}

// Adapters returns the names of all adapters, sorted.
func (c Catalog) Adapters() []string {
	return c.good[KindAdapter].Keys()
}

// Groups returns the names of all upstream groups, sorted.
func (c Catalog) Groups() []string {
	return c.good[KindGroup].Keys()
}

// Tune returns the options of the placement and batching policy.
func (c Catalog) Tune() tune.Tune {
	return c.tune
}

func get[T any](c Catalog, kind, name string) (T, bool) {
	row, ok := c.good[kind].Get(name)
	if !ok {
		var none T
		return none, false
	}
	value, faults := decode[T]([]byte(row.value))
	return value, len(faults) == 0
}
