package decl

import (
	"strings"

	"damaskreach/internal/fault"
	"damaskreach/internal/tenant"
)

// checkKeys finds API keys that two tenants claim: nodes would admit the callers of neither.
func (r *reader) checkKeys() {
	owners := make(map[string]string)
	for _, key := range r.decl.Keys() {
		it := r.decl.items[key]
		row, ok := it.value.(*tenant.Tenant)
		if !ok {
			continue
		}
		for i, sum := range row.Keys {
			sum = strings.ToLower(sum)
			if other, ok := owners[sum]; ok && other != row.Name {
				r.itemFault(it, fault.NewFault("keys", "entry %d is a key of tenant %q too", i+1, other))
				continue
			}
			owners[sum] = row.Name
		}
	}
}
