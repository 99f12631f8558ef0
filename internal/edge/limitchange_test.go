//go:build !race

package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/team"
)

const (
	// burstRate is how many requests a second the team sends in these tests, some 230,000 tokens: far over each limit.
	burstRate = 200
	// minUsedShare is the part of a raised limit that a team must get when it asks for far more.
	minUsedShare = 0.9
	// limitDuration is how long each limit stays in these tests.
	limitDuration = 6 * time.Second
	// spanStep is the step between the spans that are checked.
	spanStep = 500 * time.Millisecond
	// longPrompt is the largest request in units, meanPrompt the mean.
	longPrompt = 4000
	meanPrompt = 1000
)

// changingLimits returns teams of which one has these limits in successive versions; 0 means none.
func changingLimits(limits ...float64) func(version int64) []team.Team {
	return func(version int64) []team.Team {
		rate := limits[version-1]
		return []team.Team{{Name: "busy", Tokens: true, Rate: rate, Burst: rate}, {Name: "calm", Tokens: true}}
	}
}

// unitsRun returns how many units of a team were sent since one time and ran before another.
func (p *teamFleet) unitsRun(name string, from, to time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, r := range p.executions {
		if r.team == name && !r.sent.Before(from) && r.at.Before(to) {
			sum += r.units
		}
	}
	return sum
}

// wantLimitHeld checks that in no span between two times more of a team ran than a limit allows, plus its burst and one long request.
func (p *teamFleet) wantLimitHeld(limit float64, from, to time.Time) {
	p.t.Helper()
	for at := from; at.Before(to); at = at.Add(spanStep) {
		for end := at.Add(spanStep); !end.After(to); end = end.Add(spanStep) {
			got, allowed := p.unitsRun("busy", at, end), limit*end.Sub(at).Seconds()+limit+longPrompt
			if got > allowed {
				p.t.Errorf("%.0f units ran from %v to %v after the change to %.0f a second applied, want %.0f at most",
					got, at.Sub(from), end.Sub(from), limit, allowed)
				return
			}
		}
	}
}

// wantLimitUsed checks that a team got most of its limit between two times.
func (p *teamFleet) wantLimitUsed(limit float64, from, to time.Time) {
	p.t.Helper()
	got, want := p.unitsRun("busy", from, to), limit*to.Sub(from).Seconds()
	p.t.Logf("limit of %.0f a second: %.2f of it used in %v", limit, got/want, to.Sub(from))
	if got < minUsedShare*want {
		p.t.Errorf("%.0f units ran in %v at a limit of %.0f a second, want %.0f at least", got, to.Sub(from), limit, minUsedShare*want)
	}
}

// Operators lower, raise, set and remove the limit of a team that asks for many times as much. If one of the limit's parts applied an old
// limit or kept units of it, the team would get more or less than it may.
func TestChangedLimitAppliesDuringBurst(t *testing.T) {
	for name, limits := range map[string][]float64{
		"lowered and raised, in as many parts": {60000, 33000, 60000},
		"lowered and raised, in other parts":   {120000, 9000, 120000},
		"set and removed":                      {0, 30000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newLimitChange(t, limits)
				p.generateLoads(t.Context(), 1)
				start := time.Now()
				time.Sleep(limitDuration)
				for i := range limits[1:] {
					changed := p.applyLimit(i + 1)
					time.Sleep(confDelay + limitDuration)
					p.wantLimitApplied(i+1, changed.Add(confDelay))
				}
				p.wantTruthfulAnswers(start)
			})
		})
	}
}

// A team has saved up its whole burst when operators lower its limit. If it kept these units, it would exceed the new limit.
func TestLoweredLimitDropsSavedUnits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newLimitChange(t, []float64{120000, 9000})
		lightCtx, stop := context.WithCancel(t.Context())
		p.generateLoad(lightCtx, 3, "busy", 5, randomPrompt)
		time.Sleep(limitDuration)
		stop()
		changed := p.applyLimit(1)
		time.Sleep(confDelay)
		p.generateLoads(t.Context(), 1)
		time.Sleep(limitDuration)
		p.wantLimitApplied(1, changed.Add(confDelay))
		p.wantTruthfulAnswers(changed)
	})
}

// limitChange is a fleet with a team whose limit changes and a team without one.
type limitChange struct {
	*teamFleet
	limits []float64
}

// newLimitChange starts a fleet in which the first of the limits applies.
func newLimitChange(t *testing.T, limits []float64) limitChange {
	p := newTeamFleet(t, 18, 3, 4, changingLimits(limits...))
	time.Sleep(14 * time.Second)
	return limitChange{p, limits}
}

// generateLoads has the limited team, busy, ask for far more than its limits, while the team calm asks for little.
func (c limitChange) generateLoads(ctx context.Context, seed uint64) {
	c.generateLoad(ctx, seed, "busy", burstRate, randomPrompt)
	c.generateLoad(ctx, seed+1, "calm", 10, randomPrompt)
}

// applyLimit writes the nth limit to the store and returns when.
func (c limitChange) applyLimit(n int) time.Time {
	c.store.put("op/config", fmt.Sprint(n+1))
	return time.Now()
}

// wantLimitApplied checks that since a time the nth limit holds and is used.
func (c limitChange) wantLimitApplied(n int, from time.Time) {
	c.t.Helper()
	limit := c.limits[n]
	if limit == 0 {
		c.wantLimitUsed(burstRate*meanPrompt, from, time.Now())
		return
	}
	c.wantLimitHeld(limit, from, time.Now())
	c.wantLimitUsed(limit, from, time.Now())
}

// wantTruthfulAnswers checks that each request since a time was served, or refused as over the limit if its team has one.
func (c limitChange) wantTruthfulAnswers(from time.Time) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	other, example := 0, callResult{}
	for _, s := range c.results {
		limited := s.status == http.StatusTooManyRequests && s.team == "busy"
		if s.sent.After(from) && s.status != http.StatusOK && !limited {
			other++
			example = s
		}
	}
	if other > 0 {
		c.t.Errorf("%d requests were neither served nor refused as over the limit, one of team %s by status %d after %v, %v after the start",
			other, example.team, example.status, example.took, example.sent.Sub(c.startedAt))
	}
}
