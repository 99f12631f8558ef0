//go:build !race

package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/team"
	"damaskreach/internal/tenure"
)

// limitSlack is how many units may run beside a tenth over the limit in any window, as the users allow.
const (
	limitSlack  = 11000
	limitWindow = 8 * time.Second
	// confDelay is the time within which a configuration applies on all connected hosts.
	confDelay = 3 * time.Second
	// limitSeeds is the minimum number of random runs.
	limitSeeds = 8
)

// limitedTeams returns teams limited by tokens; the second version lowers the limit of busy, which asks for many times as much for a while.
func limitedTeams(version int64) []team.Team {
	teams := []team.Team{
		{Name: "small", Tokens: true, Rate: 2700, Burst: 2700},
		{Name: "middle", Tokens: true, Rate: 20000, Burst: 20000},
		{Name: "busy", Tokens: true, Rate: 30000, Burst: 120000},
	}
	if version == 2 {
		teams[2].Rate, teams[2].Burst = 15000, 15000
	}
	return teams
}

// randomPrompt returns the units of a request: most are short, some long.
func randomPrompt(rng *rand.Rand) int {
	return min(4000, 200+int(rng.ExpFloat64()*1000))
}

// Hosts crash, freeze, restart, lose the store and each other, and in the end all power, while limits change and one team asks for many
// times its limit. In no window may more of a team run than its limit allows; what is asked below the limit is served once hosts are
// connected. If two hosts, or a host and its own restart, granted one part of a limit, a team would get it twice.
func TestLimitsHoldAcrossHostsDuringFaults(t *testing.T) {
	runSeeds := []uint64{43, 137, 150, 177} // seeds with long requests in succession of which none was served
	for seed := range max(limitSeeds, *seeds) {
		runSeeds = append(runSeeds, seed)
	}
	for _, seed := range runSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 29))
				p := newTeamFleet(t, 18, 3, 4, limitedTeams)
				time.Sleep(14 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				calmStart := time.Now()
				p.generateLoad(ctx, seed, "small", 1.2, randomPrompt)
				p.generateLoad(ctx, seed+1, "middle", 9, randomPrompt)
				p.generateLoad(ctx, seed+2, "busy", 18, randomPrompt)
				time.Sleep(8 * time.Second)
				p.wantAllServed("calm", calmStart)
				burstCtx, endBurst := context.WithCancel(ctx)
				p.generateLoad(burstCtx, seed+3, "busy", 200, randomPrompt)
				lowered, raised := p.injectFaults(rng)
				for range 3 {
					p.powerCycle(rng)
					time.Sleep(1500 * time.Millisecond)
				}
				endBurst()
				time.Sleep(10 * time.Second)
				after := time.Now()
				time.Sleep(8 * time.Second)
				p.wantAllServed("after", after)
				cancel()
				time.Sleep(2 * time.Second)
				for _, name := range []string{"small", "middle", "busy"} {
					p.wantUnitsWithin(name, limitWindow, p.limitAt(name, lowered, raised), limitSlack)
				}
			})
		})
	}
}

// limitAt returns the highest limit of a team that may apply to what runs in a window that begins at a time.
func (p *teamFleet) limitAt(name string, lowered, raised time.Time) func(at time.Time) (rate, burst float64) {
	return func(at time.Time) (rate, burst float64) {
		version := int64(1)
		if at.After(lowered.Add(confDelay+limitWindow)) && at.Add(limitWindow).Before(raised) {
			version = 2
		}
		for _, t := range p.teams(version) {
			if t.Name == name {
				rate, burst = t.Rate, t.Burst
			}
		}
		return rate, burst
	}
}

// wantAllServed checks that what all teams asked below their limits since a time was served.
func (p *teamFleet) wantAllServed(when string, from time.Time) {
	p.t.Helper()
	for _, t := range limitedTeams(1) {
		p.wantServed(when, from, time.Now(), t)
	}
}

// injectFaults harms random hosts, some at the same time, and lowers and raises limits.
func (p *teamFleet) injectFaults(rng *rand.Rand) (lowered, raised time.Time) {
	for step := range 12 {
		host := rng.IntN(len(p.hosts))
		ip := p.hosts[host]
		lasts := time.Duration(500+rng.IntN(5000)) * time.Millisecond
		switch rng.IntN(4) {
		case 0:
			p.kill(ip)
			time.AfterFunc(lasts, func() { p.restart(host) })
		case 1:
			p.partition(ip, true)
			time.AfterFunc(lasts, func() { p.partition(ip, false) })
		case 2:
			p.net.Freeze(ip)
			time.AfterFunc(lasts, func() { p.net.Thaw(ip) })
		default:
			p.store.refuse(ip, true)
			time.AfterFunc(lasts, func() { p.store.refuse(ip, false) })
		}
		switch step {
		case 2:
			p.store.put("op/config", "2")
			lowered = time.Now()
		case 10:
			p.store.put("op/config", "3")
			raised = time.Now()
		}
		time.Sleep(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	return lowered, raised
}

// restart starts the process on a host whose last one was killed.
func (p *teamFleet) restart(host int) {
	if p.isDead(p.process(p.hosts[host])) {
		p.start(p.ctx, host)
	}
}

func (p *teamFleet) process(ip string) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.processes[ip]
}

// powerCycle has all hosts lose power at once and start again.
func (p *teamFleet) powerCycle(rng *rand.Rand) {
	for _, ip := range p.hosts {
		p.kill(ip)
	}
	time.Sleep(time.Second)
	for i := range p.hosts {
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
		p.restart(i)
	}
}

// A team asks for many times its limit. Requests of other teams must be served as fast as before.
func TestTeamOverLimitDoesNotSlowOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTeamFleet(t, 12, 3, 4, limitedTeams)
		time.Sleep(14 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		p.generateLoad(ctx, 1, "middle", 9, randomPrompt)
		p.generateLoad(ctx, 2, "busy", 400, randomPrompt)
		start := time.Now()
		time.Sleep(12 * time.Second)
		cancel()
		time.Sleep(2 * time.Second)
		p.wantServed("beside a busy team", start, time.Now(), limitedTeams(1)[1])
		p.wantUnitsWithin("busy", limitWindow, p.limitAt("busy", time.Now(), time.Now()), limitSlack)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, s := range p.results {
			if s.team == "middle" && s.took > 100*time.Millisecond {
				t.Errorf("a request of another team took %v, want 100 ms at most", s.took)
			}
			if s.status != http.StatusOK && s.status != http.StatusTooManyRequests {
				t.Errorf("status = %d, want 200, or 429 over the limit", s.status)
			}
		}
	})
}

// No host reaches the store for the duration of a lease. No other host can own a part of a limit by then, so its owner goes on counting.
// If it stopped, all requests of teams with a limit would be refused, though they ask for a fraction of it.
func TestLimitsAreCountedWhileStoreIsDownForOneLease(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTeamFleet(t, 18, 3, 4, limitedTeams)
				time.Sleep(14*time.Second + time.Duration(seed)*600*time.Millisecond)
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				start := time.Now()
				p.generateLoad(ctx, seed, "small", 1.2, randomPrompt)
				p.generateLoad(ctx, seed+1, "middle", 9, randomPrompt)
				time.Sleep(time.Second)
				for _, host := range p.hosts {
					p.store.refuse(host, true)
				}
				time.Sleep(tenure.Lease)
				p.store.serveAll()
				time.Sleep(3 * time.Second)
				p.wantAllServed("with the store away", start)
			})
		})
	}
}
