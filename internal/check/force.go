package check

import (
	"maps"
	"slices"
	"time"

	"damaskreach/internal/action"
)

// Reverts demands that no process goes back to a lower configuration revision.
func Reverts(all []action.Action) []Breach {
	var found []Breach
	highest := map[string]int64{}
	for _, a := range ordered(all, action.Force) {
		if a.Rev < highest[a.Process] {
			found = append(found, newBreach("no revision goes back", a.At,
				"%s went from revision %d to %d", a.Process, highest[a.Process], a.Rev))
		}
		highest[a.Process] = max(highest[a.Process], a.Rev)
	}
	return found
}

// Missing demands that each accepted revision is in force within grace on every process that is live and connected,
// counted from the later of its acceptance and the time from which the process was connected. The run ended at end.
func Missing(all []action.Action, grace time.Duration, end time.Time) []Breach {
	var found []Breach
	commits := ordered(all, action.Commit)
	for _, s := range spans(all, end) {
		for _, commit := range commits {
			due := later(commit.At, s.from).Add(grace)
			if due.After(s.to) {
				continue
			}
			if got := forced(all, s.process, due); got < commit.Rev {
				found = append(found, newBreach("no accepted revision missing", due,
					"%s has revision %d in force %s after it could know of %d", s.process, got, grace, commit.Rev))
			}
		}
	}
	return found
}

// span is a time during which a process was live and connected.
type span struct {
	process  string
	from, to time.Time
}

func spans(all []action.Action, end time.Time) []span {
	var found []span
	open := map[string]time.Time{}
	for _, a := range ordered(all, action.Join, action.Part) {
		from, there := open[a.Process]
		switch {
		case a.Kind == action.Join && !there:
			open[a.Process] = a.At
		case a.Kind == action.Part && there:
			found = append(found, span{a.Process, from, a.At})
			delete(open, a.Process)
		}
	}
	for _, process := range slices.Sorted(maps.Keys(open)) {
		found = append(found, span{process, open[process], end})
	}
	return found
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// forced returns the highest revision that a process had in force up to a time.
func forced(all []action.Action, process string, until time.Time) int64 {
	var rev int64
	for _, a := range all {
		if a.Kind == action.Force && a.Process == process && !a.At.After(until) {
			rev = max(rev, a.Rev)
		}
	}
	return rev
}
