package check

import (
	"time"

	"damaskreach/internal/action"
)

// Leaving demands that a runner marked as leaving is sent no request once grace has passed since the mark. For a process
// that was cut off or paused at the time, the grace counts from when it was connected again.
func Leaving(all []action.Action, grace time.Duration) []Breach {
	var found []Breach
	marked := map[string]time.Time{}
	joined := map[string]time.Time{}
	for _, a := range ordered(all, action.Join, action.Part, action.Leave, action.Return, action.Start) {
		switch a.Kind {
		case action.Join:
			joined[a.Process] = a.At
		case action.Part:
			delete(joined, a.Process)
		case action.Leave:
			if _, before := marked[a.Runner]; !before {
				marked[a.Runner] = a.At
			}
		case action.Return:
			delete(marked, a.Runner)
		case action.Start:
			mark, leaving := marked[a.Runner]
			from, connected := joined[a.Process]
			if leaving && connected && a.At.Sub(later(mark, from)) > grace {
				found = append(found, newBreach("no start on a leaving upstream", a.At,
					"%s started request %s on %s, leaving for %s", a.Process, a.Request, a.Runner, a.At.Sub(mark)))
			}
		}
	}
	return found
}
