package check

import (
	"time"

	"damaskreach/internal/action"
)

// Leaving demands that a runner marked as leaving is sent no request once grace has passed.
func Leaving(all []action.Action, grace time.Duration) []Breach {
	var found []Breach
	marked := map[string]time.Time{}
	for _, a := range ordered(all, action.Leave, action.Return, action.Start) {
		since, leaving := marked[a.Runner]
		switch {
		case a.Kind == action.Leave && !leaving:
			marked[a.Runner] = a.At
		case a.Kind == action.Return:
			delete(marked, a.Runner)
		case a.Kind == action.Start && leaving && a.At.Sub(since) > grace:
			found = append(found, newBreach("no start on a leaving upstream", a.At,
				"%s started request %s on %s, leaving for %s", a.Process, a.Request, a.Runner, a.At.Sub(since)))
		}
	}
	return found
}
