//go:build !race

package edge_test

import (
	"testing"
	"time"
)

// leaveNoticeTime, in synctest time, is how long after the first answer that says that an upstream leaves a host may still send requests
// under way.
const leaveNoticeTime = time.Second

// lateRequests returns how many requests came to an upstream from hosts that it had long told that it leaves.
func (p *teamFleet) lateRequests(id string) (late int, latest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := map[string]time.Time{}
	for _, r := range p.executions {
		if r.upstream != id {
			continue
		}
		if at, ok := first[r.host]; ok && r.at.Sub(at) > leaveNoticeTime {
			late++
			latest = max(latest, r.at.Sub(at))
		}
		if _, ok := first[r.host]; r.leaving && !ok {
			first[r.host] = r.at
		}
	}
	return late, latest
}

// The store is down while an upstream begins to leave: its registration says ready, and only its answers tell otherwise. Requests that
// hosts still sent there would be cut off.
func TestUpstreamAnnouncingLeaveGetsNoMoreRequests(t *testing.T) {
	forEachUpstreamKind(t, 100, func(t *testing.T, p *teamFleet, _ func()) {
		for _, ip := range p.hosts {
			p.store.refuse(ip, true)
		}
		p.mu.Lock()
		p.leavingIDs["u0"] = true
		p.mu.Unlock()
		start := time.Now()
		time.Sleep(12 * time.Second)
		if late, latest := p.lateRequests("u0"); late > 0 {
			t.Errorf("%d requests came to an upstream up to %v after it had told their hosts that it leaves", late, latest)
		}
		p.wantNearlyAllServed(start, time.Now().Add(-2*time.Second))
	})
}
