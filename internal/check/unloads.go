package check

import (
	"time"

	"damaskreach/internal/action"
	"damaskreach/internal/stand/recrd"
)

// Unloads demands that no model is unloaded while a request uses it. It takes what an engine executed, what it
// noticed itself, and the orders that reached it.
func Unloads(runner string, records, noticed []recrd.Record, all []action.Action) []Breach {
	const rule = "no unload with a request in use"
	var found []Breach
	for _, r := range noticed {
		found = append(found, newBreach(rule, r.Finished, "%s: model %s, request %s: %s", runner, r.Model, r.Request, r.Breach))
	}
	for _, a := range ordered(all, action.Unload) {
		if a.Runner != runner || a.Fault != "" {
			continue
		}
		for _, r := range records {
			if r.Model == a.Model && during(r, a.At, a.End) {
				found = append(found, newBreach(rule, a.At, "%s: %s unloaded %s while request %s used it", runner, a.Process, a.Model, r.Request))
			}
		}
	}
	return found
}

// during reports whether an execution used its model when an order took effect, whenever between the two times that was.
// What is generated needs the model no more, although it may be handed on for long after: to a node that is paused, say.
func during(r recrd.Record, sent, answered time.Time) bool {
	if r.Started.After(sent) || r.End == recrd.Refused {
		return false
	}
	end := r.Finished
	if !r.Made.IsZero() {
		end = r.Made
	}
	return end.IsZero() || end.After(answered)
}
