//go:build !race

package edge_test

import (
	"net/http"
	"testing"
	"time"
)

const (
	// pauseNoticeTime, in synctest time, is how long after an answer that asks for a pause a host may still send pending requests;
	// maxPauseRequests is how many may come from a host within the pause after that.
	pauseNoticeTime  = 500 * time.Millisecond
	maxPauseRequests = 2
)

// maxDuringPause returns the most requests that an upstream got from one host within a pause that it had asked that host for.
func (p *teamFleet) maxDuringPause() (highest int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, first := range p.executions {
		if !first.askedPause {
			continue
		}
		n := 0
		for _, r := range p.executions[i:] {
			after := r.at.Sub(first.at)
			if r.upstream == first.upstream && r.host == first.host && after >= pauseNoticeTime && after < pauseDuration {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// wantPaused checks that upstreams got the pause that they asked for.
func (p *teamFleet) wantPaused() {
	p.t.Helper()
	if got := p.maxDuringPause(); got > maxPauseRequests {
		p.t.Errorf("an upstream got %d requests from one host while it rested from that host, want %d at most", got, maxPauseRequests)
	}
}

// Two of four upstreams reject every request for some seconds and ask for a pause. If hosts kept sending, requests would use up
// their retries, and the upstreams would get no pause.
func TestUpstreamAskingForRestGetsIt(t *testing.T) {
	forEachUpstreamKind(t, 200, func(t *testing.T, p *teamFleet, _ func()) {
		p.setShedding("u0", "u1")
		start := time.Now()
		time.Sleep(6 * time.Second)
		p.setShedding()
		p.wantPaused()
		p.wantNearlyAllServed(start, time.Now())
		ended := time.Now()
		time.Sleep(8 * time.Second)
		if _, all := p.received("u0", ended.Add(4*time.Second), ended.Add(8*time.Second)); all < 100 {
			t.Errorf("u0 got %d requests from 4 to 8 s after it stopped rejecting them, want its share again, about 200", all)
		}
	})
}

// Every upstream has asked for a pause. Callers must be refused at once, with a retry time at which one of them accepts requests again.
func TestCallersAreRefusedAtOnceWhenAllUpstreamsRest(t *testing.T) {
	forEachUpstreamKind(t, 200, func(t *testing.T, p *teamFleet, _ func()) {
		p.setShedding("u0", "u1", "u2", "u3")
		start := time.Now()
		time.Sleep(8 * time.Second)
		p.wantPaused()
		p.mu.Lock()
		defer p.mu.Unlock()
		late, latest := 0, time.Duration(0)
		for _, s := range p.results {
			if s.sent.After(start) && (s.status != http.StatusServiceUnavailable || s.took > refusalBound) {
				late++
				latest = max(latest, s.took)
			}
		}
		if late > 0 {
			t.Errorf("%d callers got no 503 within %v, the latest answer came after %v", late, refusalBound, latest)
		}
	})
}

// setShedding makes exactly these upstreams reject every request.
func (p *teamFleet) setShedding(ids ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.sheddingIDs)
	for _, id := range ids {
		p.sheddingIDs[id] = true
	}
}
