package check

import (
	"time"

	"damaskreach/internal/action"
)

// exitSlack is how long after a process has exited the loss of its answers shows.
const exitSlack = 2 * time.Second

// Cuts demands that a graceful shutdown ends no request: none that the process carried as its caller's entry, and none
// that it had sent to a runner as its owner. Answers name the entry as their process, starts name the owner.
func Cuts(all []action.Action) []Breach {
	var found []Breach
	for _, exit := range ordered(all, action.Exit) {
		for _, a := range ordered(all, action.Answer, action.Start) {
			if a.Process == exit.Process && a.Fault != "" && cutBy(a, exit.At) {
				found = append(found, newBreach("no shutdown cuts a request", a.End,
					"%s exited at %s and its %s of request %s failed: %s", a.Process, exit.At.Format("15:04:05.000"), a.Kind, a.Request, a.Fault))
			}
		}
	}
	return found
}

// cutBy reports whether an action was in progress when its process exited and ended because of it.
func cutBy(a action.Action, exit time.Time) bool {
	if a.At.After(exit) {
		return false
	}
	return a.End.IsZero() || !a.End.Before(exit) && a.End.Sub(exit) <= exitSlack
}
