//go:build !race

package edge_test

import (
	"net/http"
	"testing"
	"time"
)

const (
	// restTold, in synctest's time as all waits here, is how long after an answer that asks for rest a host may still send what it had begun to, and restMost how many requests
	// may come within the rest after that.
	restTold = 500 * time.Millisecond
	restMost = 2
)

// disturbed returns the most requests that came to an upstream from one host while it rested from that host.
func (p *payers) disturbed() (most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, first := range p.runs {
		if !first.rest {
			continue
		}
		n := 0
		for _, r := range p.runs[i:] {
			after := r.at.Sub(first.at)
			if r.to == first.to && r.from == first.from && after >= restTold && after < restAsked {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// wantRested checks that upstreams got the rest that they asked for.
func (p *payers) wantRested() {
	p.t.Helper()
	if got := p.disturbed(); got > restMost {
		p.t.Errorf("an upstream got %d requests from one host while it rested from that host, want %d at most", got, restMost)
	}
}

// Two of four upstreams turn every request away for some seconds, and say for how long they want nothing. Sent there again and again, requests
// are rejected until their tries are used up, and the upstreams get no rest.
func TestUpstreamThatAsksForRestGetsIt(t *testing.T) {
	eachKind(t, 200, func(t *testing.T, p *payers, _ func()) {
		p.shed("u0", "u1")
		begun := time.Now()
		time.Sleep(6 * time.Second)
		p.shed()
		p.wantRested()
		p.wantAnswered(begun, time.Now())
		ended := time.Now()
		time.Sleep(8 * time.Second)
		if _, all := p.got("u0", ended.Add(4*time.Second), ended.Add(8*time.Second)); all < 100 {
			t.Errorf("u0 got %d requests from 4 to 8 s after it ceased to turn them away, want its part again, about 200", all)
		}
	})
}

// Every upstream rests. Callers are told at once, and to come back once one of them wants requests again.
func TestCallersAreToldAtOnceWhereAllUpstreamsRest(t *testing.T) {
	eachKind(t, 200, func(t *testing.T, p *payers, _ func()) {
		p.shed("u0", "u1", "u2", "u3")
		begun := time.Now()
		time.Sleep(8 * time.Second)
		p.wantRested()
		p.mu.Lock()
		defer p.mu.Unlock()
		late, latest := 0, time.Duration(0)
		for _, s := range p.said {
			if s.sent.After(begun) && (s.status != http.StatusServiceUnavailable || s.took > atOnce) {
				late++
				latest = max(latest, s.took)
			}
		}
		if late > 0 {
			t.Errorf("%d callers got no 503 within %v, the latest answer came after %v", late, atOnce, latest)
		}
	})
}

// shed has just these upstreams turn every request away.
func (p *payers) shed(ids ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.sheds)
	for _, id := range ids {
		p.sheds[id] = true
	}
}
