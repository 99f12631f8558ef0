//go:build !race

package edge_test

import (
	"net/http"
	"slices"
	"time"

	"damaskreach/internal/team"
)

// wantUnitsWithin checks that in no window more units of a team ran than its limit allows, with a tenth and some slack.
func (p *teamFleet) wantUnitsWithin(name string, window time.Duration, limit func(at time.Time) (rate, burst float64), slack float64) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	worst, worstAt := 0.0, time.Time{}
	for _, first := range p.executions {
		if first.team != name {
			continue
		}
		sum := 0.0
		for _, r := range p.executions {
			if r.team == name && !r.sent.Before(first.sent) && r.at.Before(first.sent.Add(window)) {
				sum += r.units
			}
		}
		rate, burst := limit(first.sent)
		allowed := (rate*window.Seconds()+burst)*1.1 + slack
		if sum/allowed > worst {
			worst, worstAt = sum/allowed, first.sent
		}
	}
	p.t.Logf("team %s: at most %.2f of what any %v may hold, %.1f s after the start", name, worst, window, worstAt.Sub(p.startedAt).Seconds())
	if worst > 1 {
		p.t.Errorf("team %s ran %.2f of its limit in %v, %.1f s after the start", name, worst, window, worstAt.Sub(p.startedAt).Seconds())
	}
}

// bucketHistory is the time before a span from which on a team's bucket is computed.
const bucketHistory = 10 * time.Second

// wantServed checks that between two times nearly all was served of what a team asked below its limit: what was served, and what was
// refused though a bucket of the whole limit had the units at that time, less those of requests that ran before the answer.
func (p *teamFleet) wantServed(when string, from, to time.Time, t team.Team) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	asked := slices.Clone(p.results)
	slices.SortFunc(asked, func(a, b callResult) int { return a.sent.Compare(b.sent) })
	asked = slices.DeleteFunc(asked, func(s callResult) bool { return s.team != t.Name || s.sent.Before(from.Add(-bucketHistory)) })
	served, denied := 0.0, 0.0
	for _, s := range asked {
		switch {
		case s.sent.Before(from) || s.sent.After(to):
		case s.status == http.StatusOK:
			served += s.units
		case bucketLevel(asked, t, from.Add(-bucketHistory), s) >= min(s.units, t.Burst):
			denied += s.units
		}
	}
	p.t.Logf("%s: team %s got %.0f units, and %.0f below its limit were refused", when, t.Name, served, denied)
	if served < 0.95*(served+denied) {
		p.t.Errorf("%s: team %s got %.3f of what it asked for below its limit, want 0.95", when, t.Name, served/(served+denied))
	}
}

// bucketLevel returns what a bucket of a team's limit, full at a time, has left for a request after those that were served.
func bucketLevel(asked []callResult, t team.Team, full time.Time, of callResult) float64 {
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
