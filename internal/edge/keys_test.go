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

// changingKeys is a configuration whose second version removes red's key and adds blue's.
func changingKeys(version int64) []team.Team {
	if version == 1 {
		return []team.Team{{Name: "red"}, {Name: "always"}}
	}
	return []team.Team{{Name: "blue"}, {Name: "always"}}
}

// statuses sends one request of a team to each host and returns the answers' statuses.
func (p *teamFleet) statuses(name string) map[string]int {
	client := &http.Client{Transport: &http.Transport{
		DialContext:       func(ctx context.Context, _, addr string) (net.Conn, error) { return p.net.Dial(callerIP)(ctx, addr) },
		DisableKeepAlives: true,
	}}
	p.mu.Lock()
	from := len(p.results)
	p.mu.Unlock()
	for i, host := range p.hosts {
		p.sendRequest(client, uint64(time.Now().UnixNano())+uint64(i), host, name, 1)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	got := map[string]int{}
	for i, s := range p.results[from:] {
		got[p.hosts[i]] = s.status
	}
	return got
}

// wantStatus checks what each host answers to a team; the hosts in exceptions have their own expected status.
func (p *teamFleet) wantStatus(when, name string, want int, exceptions map[string]int) {
	p.t.Helper()
	for host, got := range p.statuses(name) {
		expected := want
		if other, ok := exceptions[host]; ok {
			expected = other
		}
		if got != expected {
			p.t.Errorf("%s: %s gives team %s %d, want %d", when, host, name, got, expected)
		}
	}
}

// Operators remove a key and add another. docs/TEAMS.md states what each host answers and when; a late host would run requests with a
// revoked key, or refuse a new customer.
func TestKeyChangesApplyInTime(t *testing.T) {
	for name, injectFault := range map[string]func(p *teamFleet) (exceptions map[string]int){
		"connected": func(*teamFleet) map[string]int { return nil },
		"reader refused by the store": func(p *teamFleet) map[string]int {
			p.store.setFaults(true, 0)
			for _, i := range []int{3, 7, 11} { // so that whichever host reads for the others is not served for long by chance
				p.store.refuse(p.hosts[i], true)
			}
			return nil
		},
		"all but two refused by the store": func(p *teamFleet) map[string]int {
			p.store.setFaults(true, 0)
			for _, ip := range p.hosts[2:] {
				p.store.refuse(ip, true)
			}
			return nil
		},
		"cut off": func(p *teamFleet) map[string]int {
			ip := p.hosts[4]
			p.partition(ip, true)
			p.store.refuse(ip, true)
			return map[string]int{ip: http.StatusOK}
		},
		"just started": func(p *teamFleet) map[string]int {
			p.kill(p.hosts[5])
			time.AfterFunc(500*time.Millisecond, func() { p.restart(5) })
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newTeamFleet(t, 12, 3, 4, changingKeys)
				time.Sleep(14 * time.Second)
				p.wantStatus("before", "red", http.StatusOK, nil)
				p.wantStatus("before", "blue", http.StatusUnauthorized, nil)
				exceptions := injectFault(p)
				time.Sleep(1500 * time.Millisecond)
				p.store.put("op/config", "2")
				time.Sleep(confDelay)
				p.wantStatus("applied", "red", http.StatusUnauthorized, exceptions)
				behind := map[string]int{}
				for ip := range exceptions {
					behind[ip] = http.StatusServiceUnavailable
				}
				p.wantStatus("applied", "blue", http.StatusOK, behind)
				p.wantStatus("applied", "always", http.StatusOK, nil)
				for ip := range exceptions {
					p.partition(ip, false)
				}
				p.store.serveAll()
				time.Sleep(confDelay)
				p.wantStatus("healed", "red", http.StatusUnauthorized, nil)
				p.wantStatus("healed", "blue", http.StatusOK, nil)
			})
		})
	}
}

// The configuration goes back to an older version while a full list is under way. A revoked key must not become valid again.
func TestRevokedKeyStaysRevokedAfterOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTeamFleet(t, 6, 3, 4, changingKeys)
		time.Sleep(14 * time.Second)
		p.store.put("op/config", "2")
		time.Sleep(confDelay)
		p.store.put("op/config", "1")
		time.Sleep(confDelay)
		p.wantStatus("after an older version", "red", http.StatusUnauthorized, nil)
		p.wantStatus("after an older version", "blue", http.StatusOK, nil)
	})
}
