package check

import "damaskreach/internal/action"

// Givers demands that only one process sends requests and orders to a runner under one fencing number.
// Two would mean that a takeover did not raise the fence, so that engines could not tell the old owner from the new one.
func Givers(all []action.Action) []Breach {
	type term struct {
		runner string
		fence  int64
	}
	var found []Breach
	givers := map[term]string{}
	for _, a := range ordered(all, action.Start, action.Load, action.Unload) {
		at := term{a.Runner, a.Fence}
		first, known := givers[at]
		if known && first != a.Process {
			found = append(found, newBreach("one order giver per fence", a.At,
				"%s sent a %s to %s under fence %d, which is %s's", a.Process, a.Kind, a.Runner, a.Fence, first))
		}
		if !known {
			givers[at] = a.Process
		}
	}
	return found
}
