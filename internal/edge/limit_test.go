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

// limitSlack is what may run beside a tenth over the limit in any window, as the users allow.
const (
	limitSlack  = 11000
	limitWindow = 8 * time.Second
	// inForce is within which a configuration counts on all hosts in touch.
	inForce = 3 * time.Second
	// limitSeeds is how many plays of limits there are at least.
	limitSeeds = 8
)

// small, middle and busy are teams limited by tokens; busy asks for many times its limit for a while.
func limited(version int64) []team.Team {
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

// prompt draws a request's units: most are short, some long.
func prompt(luck *rand.Rand) int {
	return min(4000, 200+int(luck.ExpFloat64()*1000))
}

// Hosts die, are cut off from each other, freeze, start again and lose the store, all at once in the end, again and again, and limits are lowered and raised
// meanwhile, while one team asks for many times its limit. In no span does more of any team run than its limit allows; what is asked below
// the limit is served once hosts are in touch. Were a part given out by two hosts, or a second time by a host that starts again, a
// team would get it twice.
func TestLimitsHoldOverAllHostsThroughTrouble(t *testing.T) {
	plays := []uint64{43, 137, 150, 177} // long requests at once, of which none was served
	for seed := range max(limitSeeds, *seeds) {
		plays = append(plays, seed)
	}
	for _, seed := range plays {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				luck := rand.New(rand.NewPCG(seed, 29))
				p := newPayers(t, 18, 3, 4, limited)
				time.Sleep(14 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				calm := time.Now()
				p.load(ctx, seed, "small", 1.2, prompt)
				p.load(ctx, seed+1, "middle", 9, prompt)
				p.load(ctx, seed+2, "busy", 18, prompt)
				time.Sleep(8 * time.Second)
				p.wantAllServed("calm", calm)
				hot, cool := context.WithCancel(ctx)
				p.load(hot, seed+3, "busy", 200, prompt)
				lowered, raised := p.trouble(luck)
				for range 3 {
					p.loseAll(luck)
					time.Sleep(1500 * time.Millisecond)
				}
				cool()
				time.Sleep(10 * time.Second)
				after := time.Now()
				time.Sleep(8 * time.Second)
				p.wantAllServed("after", after)
				cancel()
				time.Sleep(2 * time.Second)
				for _, name := range []string{"small", "middle", "busy"} {
					p.wantWithin(name, limitWindow, p.limit(name, lowered, raised), limitSlack)
				}
			})
		})
	}
}

// limit returns the highest limit of a team that may count for what runs in a window that begins at a time.
func (p *payers) limit(name string, lowered, raised time.Time) func(at time.Time) (rate, burst float64) {
	return func(at time.Time) (rate, burst float64) {
		version := int64(1)
		if at.After(lowered.Add(inForce+limitWindow)) && at.Add(limitWindow).Before(raised) {
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

// wantAllServed checks what all teams asked below their limits since a time.
func (p *payers) wantAllServed(when string, from time.Time) {
	p.t.Helper()
	for _, t := range limited(1) {
		p.wantServed(when, from, time.Now(), t)
	}
}

// trouble harms hosts one after the other and some at once, and lowers and raises limits.
func (p *payers) trouble(luck *rand.Rand) (lowered, raised time.Time) {
	for step := range 12 {
		host := luck.IntN(len(p.hosts))
		ip := p.hosts[host]
		lasts := time.Duration(500+luck.IntN(5000)) * time.Millisecond
		switch luck.IntN(4) {
		case 0:
			p.kill(ip)
			time.AfterFunc(lasts, func() { p.again(host) })
		case 1:
			p.part(ip, true)
			time.AfterFunc(lasts, func() { p.part(ip, false) })
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
		time.Sleep(time.Duration(500+luck.IntN(3000)) * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	return lowered, raised
}

// again starts the program on a host whose last start was killed.
func (p *payers) again(host int) {
	if p.dead(p.life(p.hosts[host])) {
		p.start(p.ctx, host)
	}
}

func (p *payers) life(ip string) *life {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives[ip]
}

// loseAll has all hosts lose power at once, and start again.
func (p *payers) loseAll(luck *rand.Rand) {
	for _, ip := range p.hosts {
		p.kill(ip)
	}
	time.Sleep(time.Second)
	for i := range p.hosts {
		time.Sleep(time.Duration(luck.IntN(20)) * time.Millisecond)
		p.again(i)
	}
}

// A team asks for many times its limit. Others' requests are served as before, and as soon.
func TestTeamOverItsLimitCostsOthersNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPayers(t, 12, 3, 4, limited)
		time.Sleep(14 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		p.load(ctx, 1, "middle", 9, prompt)
		p.load(ctx, 2, "busy", 400, prompt)
		begun := time.Now()
		time.Sleep(12 * time.Second)
		cancel()
		time.Sleep(2 * time.Second)
		p.wantServed("beside a busy team", begun, time.Now(), limited(1)[1])
		p.wantWithin("busy", limitWindow, p.limit("busy", time.Now(), time.Now()), limitSlack)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, s := range p.said {
			if s.team == "middle" && s.took > 100*time.Millisecond {
				t.Errorf("a request of another team took %v, want 100 ms at most", s.took)
			}
			if s.status != http.StatusOK && s.status != http.StatusTooManyRequests {
				t.Errorf("status = %d, want 200, or 429 over the limit", s.status)
			}
		}
	})
}

// The store is away from all hosts for as long as a lease lasts. Nobody else can have got a part of a limit by then, and its host goes on counting.
// Were it to stop with its lease, every request of a team with a limit would be refused, though the team asks for a fraction of what it may.
func TestLimitsAreCountedWhileNobodyCanHaveFollowed(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPayers(t, 18, 3, 4, limited)
				time.Sleep(14*time.Second + time.Duration(seed)*600*time.Millisecond)
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				begun := time.Now()
				p.load(ctx, seed, "small", 1.2, prompt)
				p.load(ctx, seed+1, "middle", 9, prompt)
				time.Sleep(time.Second)
				for _, host := range p.hosts {
					p.store.refuse(host, true)
				}
				time.Sleep(tenure.Lease)
				p.store.serve()
				time.Sleep(3 * time.Second)
				p.wantAllServed("with the store away", begun)
			})
		})
	}
}
