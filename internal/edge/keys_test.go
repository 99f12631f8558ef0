//go:build !race

package edge_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/team"
)

// keyed is a configuration in which red's key is taken away and blue's added by the second version.
func keyed(version int64) []team.Team {
	if version == 1 {
		return []team.Team{{Name: "red"}, {Name: "always"}}
	}
	return []team.Team{{Name: "blue"}, {Name: "always"}}
}

// statuses asks each host once in the name of a team.
func (p *payers) statuses(name string) map[string]int {
	client := &http.Client{Transport: &http.Transport{
		DialContext:       func(ctx context.Context, _, addr string) (net.Conn, error) { return p.net.Dial(callerIP)(ctx, addr) },
		DisableKeepAlives: true,
	}}
	p.mu.Lock()
	from := len(p.said)
	p.mu.Unlock()
	for i, host := range p.hosts {
		p.ask(client, uint64(time.Now().UnixNano())+uint64(i), host, name, 1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	got := map[string]int{}
	for i, s := range p.said[from:] {
		got[p.hosts[i]] = s.status
	}
	return got
}

// wantStatus checks what each host but some answers to a team.
func (p *payers) wantStatus(when, name string, want int, but map[string]int) {
	p.t.Helper()
	for host, got := range p.statuses(name) {
		expected := want
		if other, ok := but[host]; ok {
			expected = other
		}
		if got != expected {
			p.t.Errorf("%s: %s gives team %s %d, want %d", when, host, name, got, expected)
		}
	}
}

// Operators take a key away and add another one. What each host answers, and from when on, is what docs/TEAMS.md states; a host that were late
// would run requests of somebody who may not ask any more, or turn a new customer away.
func TestKeysComeAndGoInTime(t *testing.T) {
	for name, trouble := range map[string]func(p *payers) (but map[string]int){
		"in touch": func(*payers) map[string]int { return nil },
		"the reader turned away": func(p *payers) map[string]int {
			p.store.harm(true, 0)
			for _, i := range []int{3, 7, 11} { // whatever reads for the others is not served for long by chance
				p.store.refuse(p.hosts[i], true)
			}
			return nil
		},
		"all but two turned away": func(p *payers) map[string]int {
			p.store.harm(true, 0)
			for _, ip := range p.hosts[2:] {
				p.store.refuse(ip, true)
			}
			return nil
		},
		"cut off": func(p *payers) map[string]int {
			ip := p.hosts[4]
			p.part(ip, true)
			p.store.refuse(ip, true)
			return map[string]int{ip: http.StatusOK}
		},
		"just started": func(p *payers) map[string]int {
			p.kill(p.hosts[5])
			time.AfterFunc(500*time.Millisecond, func() { p.again(5) })
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPayers(t, 12, 3, 4, keyed)
				time.Sleep(14 * time.Second)
				p.wantStatus("before", "red", http.StatusOK, nil)
				p.wantStatus("before", "blue", http.StatusUnauthorized, nil)
				but := trouble(p)
				time.Sleep(1500 * time.Millisecond)
				p.store.put("op/config", "2")
				time.Sleep(inForce)
				p.wantStatus("in force", "red", http.StatusUnauthorized, but)
				behind := map[string]int{}
				for ip := range but {
					behind[ip] = http.StatusServiceUnavailable
				}
				p.wantStatus("in force", "blue", http.StatusOK, behind)
				p.wantStatus("in force", "always", http.StatusOK, nil)
				for ip := range but {
					p.part(ip, false)
				}
				p.store.serve()
				time.Sleep(inForce)
				p.wantStatus("healed", "red", http.StatusUnauthorized, nil)
				p.wantStatus("healed", "blue", http.StatusOK, nil)
			})
		})
	}
}

// The configuration goes back to an older version in a list that was under way. A key that was taken away must not come back with it.
func TestKeyDoesNotComeBackWithAnOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPayers(t, 6, 3, 4, keyed)
		time.Sleep(14 * time.Second)
		p.store.put("op/config", "2")
		time.Sleep(inForce)
		p.store.put("op/config", "1")
		time.Sleep(inForce)
		p.wantStatus("after an older version", "red", http.StatusUnauthorized, nil)
		p.wantStatus("after an older version", "blue", http.StatusOK, nil)
	})
}
