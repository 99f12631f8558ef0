// Package check finds breaches of what must always hold in the recorded actions of a run.
//
// The checks know nothing of how the site works: they compare what nodes sent, what engines executed and what callers
// received. Each takes the actions in any order.
package check

import (
	"fmt"
	"slices"
	"time"

	"damaskreach/internal/action"
)

// Breach is one case of a rule that did not hold.
type Breach struct {
	Rule string
	At   time.Time
	Text string
}

// String returns the breach as one line.
func (b Breach) String() string {
	return b.At.Format("15:04:05.000") + " " + b.Rule + ": " + b.Text
}

func newBreach(rule string, at time.Time, format string, args ...any) Breach {
	return Breach{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)}
}

// ordered returns the actions of some kinds by time; those of one time stay in the order in which they were recorded.
func ordered(all []action.Action, kinds ...string) []action.Action {
	var found []action.Action
	for _, a := range all {
		if slices.Contains(kinds, a.Kind) {
			found = append(found, a)
		}
	}
	slices.SortStableFunc(found, func(a, b action.Action) int { return a.At.Compare(b.At) })
	return found
}
