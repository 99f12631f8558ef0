//go:build !race

package edge_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// sites are numbers of hosts, with ten upstreams each; larger ones for runs by hand.
var sites = flag.Int("hosts", 0, "also a site of so many hosts, with ten upstreams each")

const perHost = 10

func sizes() []int {
	list := []int{6, 30}
	if *sites > 0 {
		list = append(list, *sites)
	}
	return list
}

// All hosts lose power at once and start again without any memory. Each must know all upstreams soon; and the store must not have to
// send its whole list to each, over which links and the store's own bounds would make them wait for many seconds.
func TestAllHostsStartAgainSoon(t *testing.T) {
	for _, hosts := range sizes() {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPayers(t, hosts, 3, hosts*perHost, limited)
				time.Sleep(14 * time.Second)
				for _, ip := range p.hosts {
					p.kill(ip)
				}
				time.Sleep(time.Second)
				p.forget()
				p.store.count()
				for i := range p.hosts {
					p.again(i)
				}
				begun := time.Now()
				for p.behind() > 0 && time.Since(begun) < 10*time.Second {
					time.Sleep(50 * time.Millisecond)
				}
				took := time.Since(begun)
				calls, served := p.store.count()
				t.Logf("%d hosts, %d upstreams: all know all after %v; the store had %d calls and sent %d rows, %.0f a host",
					hosts, hosts*perHost, took, calls, served, float64(served)/float64(hosts))
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

// A site is calm. What the store sends for it must grow with the upstreams alone, and not with the hosts as well.
func TestStoreSendsEachRegistrationOnce(t *testing.T) {
	const span = 10
	for _, hosts := range sizes() {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPayers(t, hosts, 3, hosts*perHost, limited)
				time.Sleep(20 * time.Second)
				p.store.count()
				time.Sleep(span * time.Second)
				calls, served := p.store.count()
				beats := float64(hosts*perHost) * span / beat.Seconds()
				t.Logf("%d hosts, %d upstreams: %.1f calls a second, %.1f rows for each registration", hosts, hosts*perHost,
					float64(calls)/span, float64(served)/beats)
				if got, want := float64(served)/beats, 2.0; hosts > 6 && got > want {
					t.Errorf("the store sent %.1f rows for each registration, want %.0f at most", got, want)
				}
			})
		})
	}
}

// forget drops what hosts have found, before they start again.
func (p *payers) forget() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	clear(p.found)
}

// behind returns how many hosts do not know all upstreams.
func (p *payers) behind() int {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	n := 0
	for _, ip := range p.hosts {
		if p.found[ip] < len(p.hosts)*perHost {
			n++
		}
	}
	return n
}
