//go:build !race

package edge_test

import (
	"net/http"
	"slices"
	"time"

	"damaskreach/internal/team"
)

// wantWithin checks that in no span of a window's length more units of a team ran than its limit allows with some slack.
func (p *payers) wantWithin(name string, window time.Duration, limit func(at time.Time) (rate, burst float64), slack float64) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	worst, worstAt := 0.0, time.Time{}
	for _, first := range p.runs {
		if first.team != name {
			continue
		}
		sum := 0.0
		for _, r := range p.runs {
			if r.team == name && !r.sent.Before(first.sent) && r.at.Before(first.sent.Add(window)) {
				sum += r.units
			}
		}
		rate, burst := limit(first.sent)
		most := (rate*window.Seconds()+burst)*1.1 + slack
		if sum/most > worst {
			worst, worstAt = sum/most, first.sent
		}
	}
	p.t.Logf("team %s: at most %.2f of what any %v may hold, %.1f s after the start", name, worst, window, worstAt.Sub(p.begun).Seconds())
	if worst > 1 {
		p.t.Errorf("team %s ran %.2f of what its limit allows in %v, %.1f s after the start", name, worst, window, worstAt.Sub(p.begun).Seconds())
	}
}

// settled is how long before a time it counts what a team had.
const settled = 10 * time.Second

// wantServed checks that between two times nearly all was served of what a team asked below its limit: what it had, and what was refused
// though a bucket of the whole limit had the units when it was asked for, less what else was asked for and ran before the answer came.
func (p *payers) wantServed(when string, from, to time.Time, t team.Team) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	asked := slices.Clone(p.said)
	slices.SortFunc(asked, func(a, b said) int { return a.sent.Compare(b.sent) })
	asked = slices.DeleteFunc(asked, func(s said) bool { return s.team != t.Name || s.sent.Before(from.Add(-settled)) })
	served, denied := 0.0, 0.0
	for _, s := range asked {
		switch {
		case s.sent.Before(from) || s.sent.After(to):
		case s.status == http.StatusOK:
			served += s.units
		case left(asked, t, from.Add(-settled), s) >= min(s.units, t.Burst):
			denied += s.units
		}
	}
	p.t.Logf("%s: team %s had %.0f units, and %.0f were refused that it asked for below its limit", when, t.Name, served, denied)
	if served < 0.95*(served+denied) {
		p.t.Errorf("%s: team %s had %.3f of what it asked for below its limit, want 0.95", when, t.Name, served/(served+denied))
	}
}

// left returns what a bucket of a team's limit that was full at a time has left for a request, after those that were served.
func left(asked []said, t team.Team, full time.Time, of said) float64 {
	level, then, during := t.Burst, full, 0.0
	for _, s := range asked {
		switch {
		case s.status != http.StatusOK:
		case s.sent.Before(of.sent):
			level = min(t.Burst, level+t.Rate*s.sent.Sub(then).Seconds()) - s.units
			then = s.sent
		case s.sent.Before(of.sent.Add(of.took)):
			during += s.units
		}
	}
	return min(t.Burst, level+t.Rate*of.sent.Sub(then).Seconds()) - during
}
