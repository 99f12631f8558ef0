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
	// burstAsks is how many requests a second the team asks for in these tests, some 230,000 tokens: far over each limit.
	burstAsks = 200
	// usedShare is the part of a raised limit that a team which asks for far more must get.
	usedShare = 0.9
	// holdsFor is how long each limit stays in these tests.
	holdsFor = 6 * time.Second
	// changeStep is between the spans that are looked at.
	changeStep = 500 * time.Millisecond
	// longPrompt is what the longest request counts, and meanPrompt what they do on average.
	longPrompt = 4000
	meanPrompt = 1000
)

// changing returns the teams of a fleet whose only limited team has these limits one after the other; 0 means none.
func changing(limits ...float64) func(version int64) []team.Team {
	return func(version int64) []team.Team {
		rate := limits[version-1]
		return []team.Team{{Name: "busy", Tokens: true, Rate: rate, Burst: rate}, {Name: "calm", Tokens: true}}
	}
}

// units returns how many units of a team were sent from one time on and ran before another one.
func (p *payers) units(name string, from, to time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0.0
	for _, r := range p.runs {
		if r.team == name && !r.sent.Before(from) && r.at.Before(to) {
			sum += r.units
		}
	}
	return sum
}

// wantHeld checks that no span between two times brought more of a team than a limit allows, with one long request beside its units at once.
func (p *payers) wantHeld(limit float64, from, to time.Time) {
	p.t.Helper()
	for at := from; at.Before(to); at = at.Add(changeStep) {
		for end := at.Add(changeStep); !end.After(to); end = end.Add(changeStep) {
			got, most := p.units("busy", at, end), limit*end.Sub(at).Seconds()+limit+longPrompt
			if got > most {
				p.t.Errorf("%.0f units ran from %v to %v after the change to %.0f a second came into force, want %.0f at most", got, at.Sub(from), end.Sub(from), limit, most)
				return
			}
		}
	}
}

// wantUsed checks that a team got most of its limit between two times.
func (p *payers) wantUsed(limit float64, from, to time.Time) {
	p.t.Helper()
	got, want := p.units("busy", from, to), limit*to.Sub(from).Seconds()
	p.t.Logf("limit of %.0f a second: %.2f of it used in %v", limit, got/want, to.Sub(from))
	if got < usedShare*want {
		p.t.Errorf("%.0f units ran in %v though %.0f a second may, want %.0f at least", got, to.Sub(from), limit, usedShare*want)
	}
}

// Operators lower and raise a team's limit while it asks for many times that, set one where there was none and take it away. Were an old limit
// in force at one of its parts, or units of the old one kept, the team would get more than it may, or less than it has been given.
func TestChangedLimitIsInForceAmidABurst(t *testing.T) {
	for name, limits := range map[string][]float64{
		"lowered and raised, in as many parts": {60000, 33000, 60000},
		"lowered and raised, in other parts":   {120000, 9000, 120000},
		"set and taken away":                   {0, 30000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newChange(t, limits)
				p.ask(t.Context(), 1)
				begun := time.Now()
				time.Sleep(holdsFor)
				for i := range limits[1:] {
					changed := p.change(i + 1)
					time.Sleep(inForce + holdsFor)
					p.wantInForce(i+1, changed.Add(inForce))
				}
				p.wantTruth(begun)
			})
		})
	}
}

// A team's units at once are all there when operators lower its limit. Kept, they would let it ask for what the old limit promised.
func TestUnitsOfALoweredLimitAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newChange(t, []float64{120000, 9000})
		few, stop := context.WithCancel(t.Context())
		p.load(few, 3, "busy", 5, prompt)
		time.Sleep(holdsFor)
		stop()
		changed := p.change(1)
		time.Sleep(inForce)
		p.ask(t.Context(), 1)
		time.Sleep(holdsFor)
		p.wantInForce(1, changed.Add(inForce))
		p.wantTruth(changed)
	})
}

// changed is a fleet with a team whose limit changes, and one that has none.
type changed struct {
	*payers
	limits []float64
}

// newChange starts a fleet in which the team has the first of the limits.
func newChange(t *testing.T, limits []float64) changed {
	p := newPayers(t, 18, 3, 4, changing(limits...))
	time.Sleep(14 * time.Second)
	return changed{p, limits}
}

// ask has the team ask for far more than its limits, beside the other one.
func (c changed) ask(ctx context.Context, seed uint64) {
	c.load(ctx, seed, "busy", burstAsks, prompt)
	c.load(ctx, seed+1, "calm", 10, prompt)
}

// change gives the team the nth limit, and returns when the store has it.
func (c changed) change(n int) time.Time {
	c.store.put("op/config", fmt.Sprint(n+1))
	return time.Now()
}

// wantInForce checks that the nth limit holds from a time on, and is used.
func (c changed) wantInForce(n int, from time.Time) {
	c.t.Helper()
	limit := c.limits[n]
	if limit == 0 {
		c.wantUsed(burstAsks*meanPrompt, from, time.Now())
		return
	}
	c.wantHeld(limit, from, time.Now())
	c.wantUsed(limit, from, time.Now())
}

// wantTruth checks that each request since a time was served, or told that its team is over its limit where it has one.
func (c changed) wantTruth(from time.Time) {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	other, example := 0, said{}
	for _, s := range c.said {
		limited := s.status == http.StatusTooManyRequests && s.team == "busy"
		if s.sent.After(from) && s.status != http.StatusOK && !limited {
			other++
			example = s
		}
	}
	if other > 0 {
		c.t.Errorf("%d requests were neither served nor told that they are over the limit, one of team %s by status %d after %v, %v after the start",
			other, example.team, example.status, example.took, example.sent.Sub(c.begun))
	}
}
