package check

import (
	"damaskreach/internal/action"
	"damaskreach/internal/stand/recrd"
)

// Refusals demands that no request ran which its caller was told did not. It takes what an engine executed.
func Refusals(records []recrd.Record, all []action.Action) []Breach {
	ran := map[string]bool{}
	for _, r := range records {
		ran[r.Request] = ran[r.Request] || r.End != recrd.Refused
	}
	var found []Breach
	for _, a := range ordered(all, action.Answer) {
		if a.NotRun && ran[a.Request] {
			found = append(found, newBreach("not run means not run", a.End, "request %s ran, its caller was told: %s", a.Request, a.Fault))
		}
	}
	return found
}
