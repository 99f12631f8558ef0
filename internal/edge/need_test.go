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
	// needWindow is a span in which an upstream in need may get needShare times what it named, and needExtra requests.
	needWindow = 4 * time.Second
	needShare  = 1.5
	needExtra  = 5
	// needKnown is from when on a named limit holds, and needTold how long after its first such answer a host counts.
	needKnown = 3 * time.Second
	needTold  = 500 * time.Millisecond
	// atOnce is within which a caller is told that its request will not be served; turnComes is for how long a turn at an engine may come.
	atOnce    = 400 * time.Millisecond
	turnComes = 1100 * time.Millisecond
	// shortPrompt, in tokens, is short enough for two engines to read all of them.
	shortPrompt = 10
	// needHosts, needOthers are the hosts, and the upstreams, of which one is in need.
	needHosts  = 18
	needOthers = 4
)

// unlimited is a team whose requests nobody counts.
func unlimited(int64) []team.Team { return []team.Team{{Name: "red"}} }

// newNeed returns a fleet whose upstreams name limits: engines, which some host gives their orders, or plain ones.
func newNeed(t *testing.T, engines bool) *payers {
	p := newPayersOf(t, needHosts, 3, needOthers, unlimited, func(e *edge.Edge, _ *setup.Setup) {
		if engines {
			asEngines(e)
		}
	})
	p.engines = engines
	return p
}

// asEngines has a host take the upstreams for engines that hold one model and carry out every order at once.
func asEngines(e *edge.Edge) {
	decode, conf, register := e.Decode, e.Rules, e.Target
	e.Decode = func(r *http.Request) (demand.Demand, error) {
		d, err := decode(r)
		d.Model = "m"
		return d, err
	}
	e.Rules = func(row rows.Row) (rules.Rules, bool, error) {
		r, ok, err := conf(row)
		r.Pools = map[string]pool.Pool{"g": {
			Name: "g", MaxConns: 5000, Engine: true, Slots: 64, Places: 4, Memory: 1000, Models: []model.Model{{Name: "m", Adapter: 1}},
		}}
		return r, ok, err
	}
	e.Target = func(row rows.Row) (target.Target, error) {
		t, err := register(row)
		t.Slots, t.Models = 64, []string{"m"}
		return t, err
	}
	e.Give = func(context.Context, change.Change) (effect.Effect, error) { return effect.Done, nil }
	e.Ask = func(context.Context, change.Change) (state.State, error) {
		return state.State{Models: []string{"m"}}, nil
	}
}

// need has an upstream name a limit; less than none ends it.
func (p *payers) need(id string, limit float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.most, id)
	if limit >= 0 {
		p.most[id] = strconv.FormatFloat(limit, 'f', -1, 64)
	}
}

// got returns how many requests an upstream got between two times from the hosts that it had told of its limit by then, and from all.
func (p *payers) got(id string, from, to time.Time) (told, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := map[string]time.Time{}
	for _, r := range p.runs {
		if r.to != id {
			continue
		}
		in := !r.at.Before(from) && r.at.Before(to)
		if in {
			all++
		}
		if at, ok := first[r.from]; in && ok && !r.at.Before(at.Add(needTold)) {
			told++
		}
		if _, ok := first[r.from]; r.told && !ok {
			first[r.from] = r.at
		}
	}
	return told, all
}

// wantWithinNeed checks that no span between two times brought an upstream more than it named allows.
func (p *payers) wantWithinNeed(id string, limit float64, from, to time.Time) {
	p.t.Helper()
	allowed := int(needShare*limit*needWindow.Seconds() + needExtra)
	worst, worstAt := 0, time.Time{}
	for at := from; at.Add(needWindow).Before(to); at = at.Add(50 * time.Millisecond) {
		if told, _ := p.got(id, at, at.Add(needWindow)); told > worst {
			worst, worstAt = told, at
		}
	}
	p.t.Logf("%s, which takes %.1f a second: %d in %v, %d allowed", id, limit, worst, needWindow, allowed)
	if worst > allowed {
		p.t.Errorf("%s got %d requests in %v from hosts that it had told that it takes %.1f a second, %.1f s after the start; want %d at most",
			id, worst, needWindow, limit, worstAt.Sub(p.begun).Seconds(), allowed)
	}
}

// wantAnswered checks that nearly all that was asked between two times was served.
func (p *payers) wantAnswered(from, to time.Time) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	asked, served := 0, 0
	for _, s := range p.said {
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

// eachKind plays a calm fleet under load, once with engines and once with plain upstreams; stop ends the load.
func eachKind(t *testing.T, perSecond float64, play func(t *testing.T, p *payers, stop func())) {
	for _, engines := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines %v", engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newNeed(t, engines)
				time.Sleep(14 * time.Second)
				ctx, stop := context.WithCancel(t.Context())
				t.Cleanup(stop)
				p.load(ctx, 1, "red", perSecond, func(*rand.Rand) int { return shortPrompt })
				time.Sleep(4 * time.Second)
				play(t, p, stop)
			})
		})
	}
}

// An upstream names the requests a second that it takes from all hosts together; each host that goes by itself brings it all of them once more.
func TestUpstreamInNeedGetsNoMoreThanItTakes(t *testing.T) {
	for _, limit := range []float64{0, 1.1, 4} {
		t.Run(fmt.Sprintf("%v a second", limit), func(t *testing.T) {
			eachKind(t, 60, func(t *testing.T, p *payers, _ func()) {
				p.need("u0", limit)
				begun := time.Now()
				time.Sleep(12 * time.Second)
				p.wantWithinNeed("u0", limit, begun.Add(needKnown), time.Now())
				p.need("u0", -1)
				ended := time.Now()
				time.Sleep(14 * time.Second)
				p.wantAnswered(begun, time.Now().Add(-2*time.Second))
				if _, all := p.got("u0", ended.Add(8*time.Second), ended.Add(12*time.Second)); all < 30 {
					t.Errorf("u0 got %d requests from 8 to 12 s after the end of its need, want its part again, about 60", all)
				}
			})
		})
	}
}

// Every upstream names a limit. What is over it is refused at once, as not run and with a time to come back: callers must not wait for a turn
// that cannot come.
func TestCallersAreToldAtOnceWhereAllUpstreamsAreInNeed(t *testing.T) {
	eachKind(t, 60, func(t *testing.T, p *payers, stop func()) {
		for i := range needOthers {
			p.need(fmt.Sprint("u", i), 2)
		}
		begun := time.Now()
		time.Sleep(12 * time.Second)
		stop()
		time.Sleep(2 * time.Second)
		served, refused, slow := 0, 0, 0
		p.mu.Lock()
		for _, s := range p.said {
			switch {
			case s.sent.Before(begun.Add(needKnown)):
			case s.status == http.StatusOK:
				served++
			case s.status != http.StatusServiceUnavailable:
				t.Errorf("status = %d, want 503, which promises that the request has not run", s.status)
			default:
				refused++
				if s.took > atOnce {
					slow++
				}
				if s.took > turnComes {
					t.Errorf("a caller was told after %v, want no wait beyond %v", s.took, turnComes)
				}
			}
		}
		p.mu.Unlock()
		for i := range needOthers {
			p.wantWithinNeed(fmt.Sprint("u", i), 2, begun.Add(needKnown), begun.Add(12*time.Second))
		}
		if want := needOthers * 2 * 9 * 8 / 10; served < want {
			t.Errorf("%d requests were served in 9 s, want %d at least of what the upstreams take", served, want)
		}
		if most := refused / 20; slow > most || slow > 0 && !p.engines {
			t.Errorf("%d of %d callers were told after more than %v, want none, or at engines, where a turn may come, %d", slow, refused, atOnce, most)
		}
	})
}
