//go:build !race

package edge_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// extraHosts adds a larger site to the tests, for runs by hand.
var extraHosts = flag.Int("hosts", 0, "also a site of so many hosts, with ten upstreams each")

const upstreamsPerHost = 10

func siteSizes() []int {
	list := []int{6, 30}
	if *extraHosts > 0 {
		list = append(list, *extraHosts)
	}
	return list
}

// All hosts lose power at once and start again without any state. Each must know all upstreams soon, without the store having to send its
// full list to each host, which its links and limits would make slow.
func TestAllHostsStartAgainSoon(t *testing.T) {
	for _, hosts := range siteSizes() {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTeamFleet(t, hosts, 3, hosts*upstreamsPerHost, limitedTeams)
				time.Sleep(14 * time.Second)
				for _, ip := range p.hosts {
					p.kill(ip)
				}
				time.Sleep(time.Second)
				p.clearFound()
				p.store.count()
				for i := range p.hosts {
					p.restart(i)
				}
				start := time.Now()
				for p.hostsBehind() > 0 && time.Since(start) < 10*time.Second {
					time.Sleep(50 * time.Millisecond)
				}
				took := time.Since(start)
				calls, served := p.store.count()
				t.Logf("%d hosts, %d upstreams: all know all after %v; the store had %d calls and sent %d rows, %.0f a host",
					hosts, hosts*upstreamsPerHost, took, calls, served, float64(served)/float64(hosts))
				if took > 2*time.Second {
					t.Errorf("hosts know all upstreams after %v, want 2 s at most", took)
				}
				if got, want := float64(served)/float64(hosts), 1000.0; got > want {
					t.Errorf("the store sent %.0f rows for each host, want %.0f at most", got, want)
				}
			})
		})
	}
}

// On a site where nothing changes, the store must send rows in proportion to the upstreams' registrations, however many hosts there are.
func TestStoreSendsEachRegistrationOnce(t *testing.T) {
	const span = 10
	for _, hosts := range siteSizes() {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTeamFleet(t, hosts, 3, hosts*upstreamsPerHost, limitedTeams)
				time.Sleep(20 * time.Second)
				p.store.count()
				time.Sleep(span * time.Second)
				calls, served := p.store.count()
				beats := float64(hosts*upstreamsPerHost) * span / registrationInterval.Seconds()
				t.Logf("%d hosts, %d upstreams: %.1f calls a second, %.1f rows for each registration", hosts, hosts*upstreamsPerHost,
					float64(calls)/span, float64(served)/beats)
				if got, want := float64(served)/beats, 2.0; hosts > 6 && got > want {
					t.Errorf("the store sent %.1f rows for each registration, want %.0f at most", got, want)
				}
			})
		})
	}
}

// clearFound resets which upstreams hosts have found, before they start again.
func (p *teamFleet) clearFound() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	clear(p.foundCount)
}

// hostsBehind returns how many hosts do not know all upstreams.
func (p *teamFleet) hostsBehind() int {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	n := 0
	for _, ip := range p.hosts {
		if p.foundCount[ip] < len(p.hosts)*upstreamsPerHost {
			n++
		}
	}
	return n
}
