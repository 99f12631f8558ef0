package group

import (
	"slices"

	"damaskreach/internal/fault"
	"damaskreach/internal/names"
)

const maxRate = 1e6 // loads a second

// Faults returns what is wrong with the row by itself.
func (g Group) Faults() []fault.Fault {
	faults := slices.Concat(
		names.Faults("name", g.Name),
		names.LabelFaults("base", g.Base),
		names.LabelFaults("store", g.Store),
	)
	if !(g.Rate >= 0 && g.Rate <= maxRate) { // also true for a value that is not a number
		faults = append(faults, fault.NewFault("rate", "%v is out of range: 0 to %v", g.Rate, maxRate))
	}
	if g.Plain && g.Base != "" {
		faults = append(faults, fault.NewFault("base", "a plain service has no base model"))
	}
	if !g.Plain && g.Base == "" {
		faults = append(faults, fault.NewFault("base", "is missing, and the group is not a plain service"))
	}
	return faults
}
