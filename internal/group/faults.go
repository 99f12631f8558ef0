package group

import (
	"damaskreach/internal/fault"
	"damaskreach/internal/names"
)

// Faults returns what is wrong with the row by itself.
func (g Group) Faults() []fault.Fault {
	faults := names.Faults("name", g.Name)
	if g.Plain && g.Base != "" {
		faults = append(faults, fault.NewFault("base", "a plain service has no base model"))
	}
	if !g.Plain && g.Base == "" {
		faults = append(faults, fault.NewFault("base", "is missing, and the group is not a plain service"))
	}
	return faults
}
