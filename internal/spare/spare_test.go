package spare_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"damaskreach/internal/spare"
)

const window = 10 * time.Second

// fakeClock is the monotonic clock of the hosts.
type fakeClock struct{ now time.Duration }

func (d *fakeClock) advance(by time.Duration) { d.now += by }

// newHost starts a process on one of the given number of hosts.
func (d *fakeClock) newHost(hosts int) *spare.Spare {
	return &spare.Spare{
		Hosts: func() int { return hosts }, CountedSince: func() (time.Duration, bool) { return 0, true }, Clock: func() time.Duration { return d.now }, StartedAt: d.now,
		Bound: func() (float64, float64, time.Duration) { return 0.2, 60, window },
	}
}

// rule is what the settings of newHost allow, as the operators put it: in each window no more retries than the share of the requests of that window, of the
// one before or of the one half a window before, whichever has most, and the extra.
type rule struct{ requests, retries []time.Duration }

// in counts the times of a list, which is in order, that lie in the window from a moment on.
func in(list []time.Duration, from time.Duration) int {
	first, _ := slices.BinarySearch(list, from)
	end, _ := slices.BinarySearch(list, from+window)
	return end - first
}

// worst returns the largest share of the bound that was used in any window.
func (r rule) worst() (share float64) {
	slices.Sort(r.requests)
	slices.Sort(r.retries)
	for _, from := range r.retries {
		requests := max(in(r.requests, from), in(r.requests, from-window/2), in(r.requests, from-window))
		share = max(share, float64(in(r.retries, from))/(0.2*float64(requests)+60))
	}
	return share
}

// play has hosts send requests, each of which wants retries while its group fails.
type play struct {
	hosts    []*spare.Spare
	clock    *fakeClock
	alive    int // how many hosts share the bound
	requests []time.Duration
	retries  []time.Duration
}

// newPlay starts hosts whose clocks have phases of their own, and lets a window pass.
func newPlay(hosts int, r *rand.Rand) *play {
	p := &play{clock: &fakeClock{}, alive: hosts}
	for range hosts {
		phase := time.Duration(r.Int64N(int64(time.Second)))
		s := p.clock.newHost(0)
		s.Clock = func() time.Duration { return p.clock.now + phase }
		s.Hosts = func() int { return p.alive }
		p.hosts = append(p.hosts, s)
	}
	p.clock.advance(window)
	return p
}

// step lets the hosts take a number of requests each and, while the group fails, as many retries as they may.
func (p *play) step(by time.Duration, requests int, fails bool) {
	p.clock.advance(by)
	for _, s := range p.hosts {
		for range requests {
			s.CountFirst("g")
			p.requests = append(p.requests, p.clock.now)
		}
		for fails && s.TryRetry("g") {
			p.retries = append(p.retries, p.clock.now)
		}
	}
}

// All upstreams of a group fail for moments that lie about a window apart, at any phase and rate. A host that forgets its retries before the window
// has passed lets two full portions into one window.
func TestNoWindowHasMoreRetriesThanTheBound(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 76))
		hosts, usual, rushed := 1+r.IntN(6), r.IntN(3), r.IntN(30)
		p := newPlay(hosts, r)
		for range 100 {
			p.step(50*time.Millisecond, usual, false)
		}
		for range 5 {
			gap := time.Duration(9000+r.IntN(1500)) * time.Millisecond
			for range 1 + r.IntN(8) {
				p.step(50*time.Millisecond, rushed, true)
				gap -= 50 * time.Millisecond
			}
			for ; gap > 0; gap -= 50 * time.Millisecond {
				p.step(min(gap, 50*time.Millisecond), usual, false)
			}
		}
		if share := (rule{p.requests, p.retries}).worst(); share > 1 {
			t.Errorf("seed %d, %d hosts: retries in one window = %.2f of the bound, want 1 at most", seed, hosts, share)
		}
	}
}

// Hosts are lost while all upstreams of a group fail, and the others divide the bound among themselves. The lost ones have used their parts in the same
// window.
func TestPartOfALostHostIsNotUsedTwice(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 77))
		p := newPlay(2+r.IntN(5), r)
		for step := range 600 {
			p.step(50*time.Millisecond, 1, true)
			if step%100 == 50 && len(p.hosts) > 1 {
				p.hosts = p.hosts[1+r.IntN(len(p.hosts)-1):]
				p.alive = len(p.hosts)
			}
		}
		if share := (rule{p.requests, p.retries}).worst(); share > 1 {
			t.Errorf("seed %d: retries in one window = %.2f of the bound, want 1 at most", seed, share)
		}
	}
}

// All upstreams of a group fail for seconds, and meanwhile hosts are killed, some or all of them, and start again with empty counts. What their predecessors
// used lies in the same windows.
func TestStartsLeaveEveryWindowWithinTheBound(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 79))
		hosts, usual, rushed := 1+r.IntN(6), r.IntN(20), r.IntN(30)
		p := newPlay(hosts, r)
		for range 200 + r.IntN(50) {
			p.step(50*time.Millisecond, usual, false)
		}
		for range 400 {
			p.step(50*time.Millisecond, rushed, true)
			if r.IntN(40) > 0 {
				continue
			}
			all := r.IntN(2) == 0
			for i := range p.hosts {
				if all || r.IntN(2) == 0 {
					p.hosts[i] = p.clock.newHost(hosts)
				}
			}
		}
		if share := (rule{p.requests, p.retries}).worst(); share > 1 {
			t.Errorf("seed %d, %d hosts: retries in one window = %.2f of the bound, want 1 at most", seed, hosts, share)
		}
	}
}

// The others cease to count a host that stands still or is cut off, and divide its part of the extra among themselves. One that takes its part as it goes on
// sends upstreams what others have sent already.
func TestNoExtraUntilOthersHaveCountedTheHostForAWindow(t *testing.T) {
	d := &fakeClock{}
	s := d.newHost(2)
	counted, since := true, time.Duration(0)
	s.CountedSince = func() (time.Duration, bool) { return since, counted }
	steps := []struct {
		when    string
		counted bool
		want    bool
	}{{"counted for a window", true, true}, {"not counted", false, false}, {"counted again", true, false}, {"counted again for a window", true, true}}
	for _, step := range steps {
		d.advance(window)
		if step.counted && !counted {
			since = d.now
		}
		counted = step.counted
		if _, _, extra, _ := s.Usage("g"); (extra > 0) != step.want {
			t.Errorf("%s: extra = %v, want some: %v", step.when, extra, step.want)
		}
	}
}

// All requests of a group fail at once. Unbounded retries would double the load on failing upstreams; no window may have
// more than the common bound of all hosts.
func TestRetriesAreBoundedInEveryWindow(t *testing.T) {
	p := newPlay(3, rand.New(rand.NewPCG(1, 1)))
	for range 400 {
		p.step(100*time.Millisecond, 1, true)
	}
	share := (rule{p.requests, p.retries}).worst()
	if share > 1 {
		t.Errorf("retries in one window = %.2f of the bound, want 1 at most", share)
	}
	if share < 0.5 {
		t.Errorf("retries in one window = %.2f of the bound, want the bound used", share)
	}
	if len(p.retries) < 100 {
		t.Errorf("retries = %d, want the bound used", len(p.retries))
	}
}

// The failures of one group must not use up the retries of another.
func TestGroupsAreBoundedSeparately(t *testing.T) {
	d := &fakeClock{}
	s := d.newHost(1)
	d.advance(window)
	for s.TryRetry("g") {
	}
	if !s.TryRetry("h") {
		t.Error("no retry for the other group, want one")
	}
}

// Hosts restart several times within a window while all requests fail. If each new process had a full part of the bound,
// upstreams would get several times the common bound.
func TestRestartDoesNotRenewTheBound(t *testing.T) {
	const hosts = 8
	p := newPlay(hosts, rand.New(rand.NewPCG(2, 1)))
	for step := range 300 {
		if step%40 == 39 {
			for i := range hosts * 7 / 10 {
				p.hosts[i] = p.clock.newHost(hosts)
			}
		}
		requests := 0
		if step%10 == 0 {
			requests = 1
		}
		p.step(100*time.Millisecond, requests, true)
	}
	if share := (rule{p.requests, p.retries}).worst(); share > 1 {
		t.Errorf("retries in one window = %.2f of the bound, want 1 at most", share)
	}
}
