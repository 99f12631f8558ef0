package owner

import (
	"damaskreach/internal/call"
	"damaskreach/internal/spread"
)

// kept returns the versions in use of the pinned adapters of a runner's group, and which of them this runner has to load if no runner has them.
// There is one such runner for each, since otherwise all would load it at once.
func (o *Owner) kept(h *held) map[string]bool {
	pinned := o.Catalog().Pinned(h.spec.Group)
	if len(pinned) == 0 {
		return nil
	}
	var open []string
	for _, r := range o.Catalog().Runners(h.spec.Group) {
		if !r.Leaving && !o.Leaving(r.Addr) {
			open = append(open, r.Name)
		}
	}
	names := map[string]bool{}
	for _, a := range pinned {
		for version, share := range a.Versions {
			if share > 0 {
				model := call.Model(a.Name, version)
				names[model] = spread.OwnerOf(open, model) == h.spec.Name
			}
		}
	}
	return names
}
