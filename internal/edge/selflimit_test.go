//go:build !race

package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/change"
	"damaskreach/internal/demand"
	"damaskreach/internal/edge"
	"damaskreach/internal/effect"
	"damaskreach/internal/model"
	"damaskreach/internal/pool"
	"damaskreach/internal/rows"
	"damaskreach/internal/rules"
	"damaskreach/internal/setup"
	"damaskreach/internal/state"
	"damaskreach/internal/target"
	"damaskreach/internal/team"
)

const (
	// In selfLimitWindow, a self-limited upstream may get selfLimitFactor times the rate that it named, and selfLimitExtra requests.
	selfLimitWindow = 4 * time.Second
	selfLimitFactor = 1.5
	selfLimitExtra  = 5
	// selfLimitDelay is how soon a named limit must hold, selfLimitNoticeTime how soon after its first answer with a limit a host must keep
	// to it.
	selfLimitDelay      = 3 * time.Second
	selfLimitNoticeTime = 500 * time.Millisecond
	// refusalBound is the time within which a caller is refused, turnBound that within which a turn at an engine may still come.
	refusalBound = 400 * time.Millisecond
	turnBound    = 1100 * time.Millisecond
	// shortPrompt, in tokens, is short enough for two engines to read all such prompts.
	shortPrompt = 10
	// selfLimitHosts and selfLimitUpstreams are the numbers of hosts and of upstreams, one of which is self-limited.
	selfLimitHosts     = 18
	selfLimitUpstreams = 4
)

// unlimitedTeams returns one team without a limit.
func unlimitedTeams(int64) []team.Team { return []team.Team{{Name: "red"}} }

// newSelfLimitFleet returns a fleet whose upstreams may name limits: engines, which have owners, or plain upstreams.
func newSelfLimitFleet(t *testing.T, engines bool) *teamFleet {
	p := newTeamFleetOf(t, selfLimitHosts, 3, selfLimitUpstreams, unlimitedTeams, func(e *edge.Edge, _ *setup.Setup) {
		if engines {
			actAsEngines(e)
		}
	})
	p.engines = engines
	return p
}

// actAsEngines makes a host treat the upstreams as engines that hold one model and carry out every order at once.
func actAsEngines(e *edge.Edge) {
	decode, conf, register := e.DecodeRequest, e.DecodeRules, e.DecodeTarget
	e.DecodeRequest = func(r *http.Request) (demand.Demand, error) {
		d, err := decode(r)
		d.Model = "m"
		return d, err
	}
	e.DecodeRules = func(row rows.Row) (rules.Rules, bool, error) {
		r, ok, err := conf(row)
		r.Pools = map[string]pool.Pool{"g": {
			Name: "g", MaxConns: 5000, Engine: true, Slots: 64, MaxAdapters: 4, MemoryMB: 1000, Models: []model.Model{{Name: "m", Adapter: 1}},
		}}
		return r, ok, err
	}
	e.DecodeTarget = func(row rows.Row) (target.Target, error) {
		t, err := register(row)
		t.Slots, t.Models = 64, []string{"m"}
		return t, err
	}
	e.SendOrder = func(context.Context, change.Change) (effect.Effect, error) { return effect.Done, nil }
	e.QueryState = func(context.Context, change.Change) (state.State, error) {
		return state.State{Models: []string{"m"}}, nil
	}
}

// setSelfLimit has an upstream name a limit; a negative one ends it.
func (p *teamFleet) setSelfLimit(id string, limit float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.selfLimits, id)
	if limit >= 0 {
		p.selfLimits[id] = strconv.FormatFloat(limit, 'f', -1, 64)
	}
}

// received returns how many requests an upstream got between two times: from hosts that already knew of its limit, and from all.
func (p *teamFleet) received(id string, from, to time.Time) (informed, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := map[string]time.Time{}
	for _, r := range p.executions {
		if r.upstream != id {
			continue
		}
		in := !r.at.Before(from) && r.at.Before(to)
		if in {
			all++
		}
		if at, ok := first[r.host]; in && ok && !r.at.Before(at.Add(selfLimitNoticeTime)) {
			informed++
		}
		if _, ok := first[r.host]; r.limitNamed && !ok {
			first[r.host] = r.at
		}
	}
	return informed, all
}

// wantSelfLimitHeld checks that no window between two times brought an upstream more than its limit allows.
func (p *teamFleet) wantSelfLimitHeld(id string, limit float64, from, to time.Time) {
	p.t.Helper()
	allowed := int(selfLimitFactor*limit*selfLimitWindow.Seconds() + selfLimitExtra)
	worst, worstAt := 0, time.Time{}
	for at := from; at.Add(selfLimitWindow).Before(to); at = at.Add(50 * time.Millisecond) {
		if informed, _ := p.received(id, at, at.Add(selfLimitWindow)); informed > worst {
			worst, worstAt = informed, at
		}
	}
	p.t.Logf("%s, limited to %.1f a second: %d in %v, %d allowed", id, limit, worst, selfLimitWindow, allowed)
	if worst > allowed {
		p.t.Errorf("%s got %d requests in %v from hosts that knew of its limit of %.1f a second, %.1f s after the start; want %d at most",
			id, worst, selfLimitWindow, limit, worstAt.Sub(p.startedAt).Seconds(), allowed)
	}
}

// wantNearlyAllServed checks that nearly all requests sent between two times were served.
func (p *teamFleet) wantNearlyAllServed(from, to time.Time) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	asked, served := 0, 0
	for _, s := range p.results {
		if s.sent.Before(from) || s.sent.After(to) {
			continue
		}
		asked++
		if s.status == http.StatusOK {
			served++
		}
	}
	if float64(served) < 0.98*float64(asked) {
		p.t.Errorf("%d of %d requests were served while other upstreams had room, want 98 in 100", served, asked)
	}
}

// forEachUpstreamKind runs test on a fleet under load, once with engines and once with plain upstreams; stop ends the load.
func forEachUpstreamKind(t *testing.T, perSecond float64, test func(t *testing.T, p *teamFleet, stop func())) {
	for _, engines := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines %v", engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newSelfLimitFleet(t, engines)
				time.Sleep(14 * time.Second)
				ctx, stop := context.WithCancel(t.Context())
				t.Cleanup(stop)
				p.generateLoad(ctx, 1, "red", perSecond, func(*rand.Rand) int { return shortPrompt })
				time.Sleep(4 * time.Second)
				test(t, p, stop)
			})
		})
	}
}

// An upstream names the rate that it accepts from all hosts together. If hosts did not count together, each would send that rate.
func TestSelfLimitHoldsAcrossHosts(t *testing.T) {
	for _, limit := range []float64{0, 1.1, 4} {
		t.Run(fmt.Sprintf("%v a second", limit), func(t *testing.T) {
			forEachUpstreamKind(t, 60, func(t *testing.T, p *teamFleet, _ func()) {
				p.setSelfLimit("u0", limit)
				start := time.Now()
				time.Sleep(12 * time.Second)
				p.wantSelfLimitHeld("u0", limit, start.Add(selfLimitDelay), time.Now())
				p.setSelfLimit("u0", -1)
				ended := time.Now()
				time.Sleep(14 * time.Second)
				p.wantNearlyAllServed(start, time.Now().Add(-2*time.Second))
				if _, all := p.received("u0", ended.Add(8*time.Second), ended.Add(12*time.Second)); all < 30 {
					t.Errorf("u0 got %d requests from 8 to 12 s after the end of its limit, want its share again, about 60", all)
				}
			})
		})
	}
}

// Every upstream names a limit. What exceeds it is refused at once, as not run and with a retry time: callers must not wait for a turn that
// cannot come.
func TestCallersAreRefusedAtOnceWhenAllUpstreamsAreLimited(t *testing.T) {
	forEachUpstreamKind(t, 60, func(t *testing.T, p *teamFleet, stop func()) {
		for i := range selfLimitUpstreams {
			p.setSelfLimit(fmt.Sprint("u", i), 2)
		}
		start := time.Now()
		time.Sleep(12 * time.Second)
		stop()
		time.Sleep(2 * time.Second)
		served, refused, slow := 0, 0, 0
		p.mu.Lock()
		for _, s := range p.results {
			switch {
			case s.sent.Before(start.Add(selfLimitDelay)):
			case s.status == http.StatusOK:
				served++
			case s.status != http.StatusServiceUnavailable:
				t.Errorf("status = %d, want 503, which promises that the request has not run", s.status)
			default:
				refused++
				if s.took > refusalBound {
					slow++
				}
				if s.took > turnBound {
					t.Errorf("a caller was refused after %v, want no wait beyond %v", s.took, turnBound)
				}
			}
		}
		p.mu.Unlock()
		for i := range selfLimitUpstreams {
			p.wantSelfLimitHeld(fmt.Sprint("u", i), 2, start.Add(selfLimitDelay), start.Add(12*time.Second))
		}
		if want := selfLimitUpstreams * 2 * 9 * 8 / 10; served < want {
			t.Errorf("%d requests were served in 9 s, want at least %d of what the upstreams accept", served, want)
		}
		if allowed := refused / 20; slow > allowed || slow > 0 && !p.engines {
			t.Errorf("%d of %d callers were refused after more than %v, want none, or at engines, where a turn may come, %d",
				slow, refused, refusalBound, allowed)
		}
	})
}
