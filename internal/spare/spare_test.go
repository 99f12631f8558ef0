package spare_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/spare"
	"damaskreach/internal/used"
)

const (
	window = 10 * time.Second
	share  = 0.2
	extra  = 60
	// stepTime is how much time passes between two rounds of requests.
	stepTime = 50 * time.Millisecond
)

// newHost starts a process on one of a number of hosts, whose clocks began at the given time. The last process has stopped and used as much, or nil if it was
// killed: then this one has no part of the extra for a window.
func newHost(begun time.Time, hosts func() int, last *used.Used) *spare.Spare {
	started := time.Now()
	return &spare.Spare{
		Hosts: hosts, Clock: func() time.Duration { return time.Since(begun) },
		Part: func() (before used.Used, ok bool) {
			if time.Since(started) >= window {
				return before, true
			}
			if last == nil {
				return before, false
			}
			return *last, true
		},
		Heard: func(string) time.Time { return begun },
		Bound: func() (float64, float64, time.Duration) { return share, extra, window },
	}
}

// one is the number of hosts where there are no others.
func one() int { return 1 }

// rule is what the settings of newHost allow, as the operators put it: in each window no more retries than the share of the requests of that window, of the
// one before or of the one half a window before, whichever has most, and the extra.
type rule struct{ requests, retries []time.Time }

// in counts the times of a list, which is in order, that lie in the window from a moment on.
func in(list []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(list, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(list, from.Add(window), time.Time.Compare)
	return end - first
}

// worst returns the largest share of the bound that was used in any window.
func (r rule) worst() (most float64) {
	slices.SortFunc(r.requests, time.Time.Compare)
	slices.SortFunc(r.retries, time.Time.Compare)
	for _, from := range r.retries {
		requests := max(in(r.requests, from), in(r.requests, from.Add(-window/2)), in(r.requests, from.Add(-window)))
		most = max(most, float64(in(r.retries, from))/(share*float64(requests)+extra))
	}
	return most
}

// play has callers send requests to hosts, each of which wants retries while its group fails.
type play struct {
	*rand.Rand
	rule
	hosts   []*spare.Spare
	begun   []time.Time // when their clocks began
	alive   int         // how many hosts share the bound
	callers []int       // the host that each caller uses
	rate    int         // requests that a caller sends in a step, at most
	fails   bool
	heard   time.Time // when upstreams were last heard of
}

// newPlay starts hosts whose clocks have phases of their own and that callers use unevenly, and lets two windows pass.
func newPlay(seed uint64) *play {
	r := rand.New(rand.NewPCG(seed, 82))
	p := &play{Rand: r, alive: 1 + r.IntN(6), callers: make([]int, 1+r.IntN(12)), rate: 1 + r.IntN(4)}
	p.hosts = make([]*spare.Spare, p.alive)
	for i := range p.hosts {
		p.begun = append(p.begun, time.Now().Add(-time.Duration(r.Int64N(int64(time.Minute)))))
		p.start(i, nil)
	}
	for i := range p.callers {
		p.move(i)
	}
	p.steps(int(2 * window / stepTime))
	return p
}

// start starts a process on a host, whose last one has stopped or was killed.
func (p *play) start(host int, last *used.Used) {
	p.hosts[host] = newHost(p.begun[host], func() int { return p.alive }, last)
	p.hosts[host].Heard = func(string) time.Time { return p.heard }
}

// stop ends a process as planned and starts the next one some time later.
func (p *play) stop(host int) {
	last := p.hosts[host].Close()
	p.steps(p.IntN(60))
	p.start(host, &last)
}

// move has a caller use another host. Half of them use the first one.
func (p *play) move(caller int) {
	p.callers[caller] = p.IntN(2) * p.IntN(len(p.hosts))
}

// steps lets callers send requests a number of times and, while the group fails, hosts send as many retries as they may.
func (p *play) steps(count int) {
	for range count {
		time.Sleep(stepTime)
		for _, host := range p.callers {
			for range p.IntN(p.rate + 1) {
				p.hosts[host].CountFirst("g")
				p.requests = append(p.requests, time.Now())
			}
		}
		for _, s := range p.hosts {
			for p.fails && s.TryRetry("g", "r") {
				p.retries = append(p.retries, time.Now())
			}
		}
	}
}

// befall is something that may befall hosts and callers while a group fails.
type befall struct {
	name   string
	least  float64 // share of the bound that hosts must be able to use in some window all the same
	change func(p *play)
}

var befalls = []befall{
	{"nothing", 0.5, func(*play) {}},
	{"the group recovers for a moment", 0.5, func(p *play) { p.recover(p.IntN(200)) }},
	{"it fails a window apart", 0.4, func(p *play) { p.recover(170 + p.IntN(30)) }},
	{"callers press", 0.4, func(p *play) { p.rate = 1 + p.IntN(20) }},
	{"one caller goes to another host", 0.5, func(p *play) { p.move(p.IntN(len(p.callers))) }},
	{"all callers go to another host", 0.5, func(p *play) { p.moveAll(p.IntN(len(p.hosts))) }},
	{"a host is lost and others get its part", 0.5, (*play).lose},
	{"a process is killed and starts again", 0.33, func(p *play) { p.start(p.IntN(len(p.hosts)), nil) }},
	{"all processes are killed and start again", 0.33, (*play).killAll},
	{"a process stops and starts again", 0.5, func(p *play) { p.stop(p.IntN(len(p.hosts))) }},
}

// anyOf is one of several, drawn each time.
func anyOf(list []befall) befall {
	return befall{"any of these", 0.33, func(p *play) { list[p.IntN(len(list))].change(p) }}
}

// recover has the group serve for a number of steps.
func (p *play) recover(steps int) {
	p.fails = false
	p.steps(steps)
	p.fails = true
}

func (p *play) killAll() {
	for i := range p.hosts {
		p.start(i, nil)
	}
}

// moveAll has all callers use one host.
func (p *play) moveAll(host int) {
	for i := range p.callers {
		p.callers[i] = host
	}
}

// lose ends a host for good, if it is not the last one. Its callers go to the others, which divide the bound among themselves.
func (p *play) lose() {
	if len(p.hosts) == 1 {
		return
	}
	lost := p.IntN(len(p.hosts))
	p.hosts, p.begun = slices.Delete(p.hosts, lost, lost+1), slices.Delete(p.begun, lost, lost+1)
	p.alive = len(p.hosts)
	for i, host := range p.callers {
		if host == lost {
			p.move(i)
		}
		p.callers[i] %= len(p.hosts)
	}
}

// Upstreams fail while hosts and callers change. Hosts that count the same requests twice, or forget what they or others have sent, send more than all of
// them together may; hosts that allow too little give up requests that they could save.
func TestNoWindowHasMoreRetriesThanTheBound(t *testing.T) {
	for _, b := range append(befalls, anyOf(befalls)) {
		t.Run(b.name, func(t *testing.T) {
			for seed := range uint64(40) {
				synctest.Test(t, func(t *testing.T) {
					p := newPlay(seed)
					p.fails = true
					for range 12 {
						p.steps(1 + p.IntN(60))
						b.change(p)
					}
					p.steps(10)
					if got := p.worst(); got > 1 || got < b.least {
						t.Errorf("seed %d, %d hosts: retries in one window = %.2f of the bound, want %.2f to 1", seed, p.alive, got, b.least)
					}
				})
			}
		})
	}
}

// Callers turn to another host, and a process starts again, while upstreams fail. The host knows nothing of the window before, and would give up every
// request that fails until a window has passed.
func TestHostWithNewCallersMayRetryAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHost(time.Now(), one, nil)
		for second := 1; second <= 9; second++ {
			retries := 0
			for range 100 {
				time.Sleep(time.Second / 100)
				s.CountFirst("g")
				if s.TryRetry("g", "r") {
					retries++
				}
			}
			if want := int(100*share) / 4; second > 1 && retries < want {
				t.Errorf("second %d: %d retries for 100 requests, want %d at least", second, retries, want)
			}
		}
	})
}

// A host stops as planned and starts again. Its next process must leave alone what was used of the extra, and may use the rest at once: without it, streams whose
// engines are lost in the first seconds end with them.
func TestNextProcessHasWhatTheLastOneLeftOfTheExtra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		s := newHost(begun, one, nil)
		time.Sleep(2 * window)
		for range 20 {
			if !s.TryRetry("g", "r") {
				t.Fatal("no retry for a host that has used none, want one")
			}
		}
		last := s.Close()
		if s.TryRetry("g", "r") {
			t.Error("a retry of the extra after its use was ended, want none")
		}
		next := newHost(begun, one, &last)
		_, _, all, _ := newHost(begun, one, &used.Used{}).Usage("g")
		if _, _, got, _ := next.Usage("g"); got != all-20 {
			t.Errorf("extra after 20 of %v were used = %v, want the rest", all, got)
		}
		if _, _, got, _ := next.Usage("h"); got != all {
			t.Errorf("extra of a group that has used none = %v, want %v", got, all)
		}
		if _, _, got, _ := newHost(begun, one, &used.Used{Hosts: 2}).Usage("g"); got != all/2 {
			t.Errorf("extra after a process that shared it with another host = %v, want %v", got, all/2)
		}
		last = next.Close()
		if _, _, got, _ := newHost(begun, one, &last).Usage("g"); got != all-20 {
			t.Errorf("extra after another start = %v, want %v", got, all-20)
		}
	})
}

// Upstreams stand still for seconds, then read all that hosts have sent meanwhile and given up, and fail. Hosts that count retries when they are sent alone send as much
// once more into the window in which those arrive, and so do processes that start in between and take all of what they count themselves.
func TestRetriesThatArriveLateStayWithinTheBound(t *testing.T) {
	for seed := range uint64(90) {
		synctest.Test(t, func(t *testing.T) {
			p := newPlay(seed)
			p.heard = time.Now()
			both, killed := p.IntN(2) == 0, p.IntN(2) == 0
			late, still := 0, 40+p.IntN(250)
			killedAt := p.IntN(still)
			for step := range still {
				time.Sleep(stepTime)
				if killed && step == killedAt {
					p.killAll()
				}
				for _, host := range p.callers {
					s, id := p.hosts[host], strconv.Itoa(len(p.requests))
					s.CountFirst("g")
					p.requests = append(p.requests, time.Now())
					s.GaveUp("g", id, "a")
					if !s.TryRetry("g", id) {
						continue
					}
					late++
					if both {
						s.GaveUp("g", id, "b")
					}
				}
			}
			p.heard = time.Now()
			p.retries = append(p.retries, slices.Repeat([]time.Time{p.heard}, late)...)
			p.fails = true
			p.steps(int(window / stepTime))
			if got := p.worst(); got > 1 {
				t.Errorf("seed %d, %d hosts, some killed: %v: retries in one window = %.2f of the bound, want 1 at most", seed, p.alive, killed, got)
			}
			used := len(p.retries)
			p.steps(int(window / stepTime))
			if got := len(p.retries) - used; got < extra/2 {
				t.Errorf("seed %d, %d hosts: %d retries in the window after, want %d at least", seed, p.alive, got, extra/2)
			}
		})
	}
}

// An upstream does not answer some requests but others. What was given up there has arrived, and must not count for longer than it was sent.
func TestRetriesOfAnUpstreamThatIsHeardOfCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHost(time.Now(), one, &used.Used{})
		s.Heard = func(string) time.Time { return time.Now() }
		for i := range 10 {
			id := strconv.Itoa(i)
			s.GaveUp("g", id, "a")
			time.Sleep(window / 20)
			if !s.TryRetry("g", id) {
				t.Fatalf("no retry of request %d, want one", i)
			}
			s.GaveUp("g", id, "b")
		}
		if got, _, _, _ := s.Usage("g"); got != 10 {
			t.Errorf("retries = %v, want 10", got)
		}
		for range 12 {
			time.Sleep(window / 10)
			s.CountFirst("g")
		}
		if got, _, _, _ := s.Usage("g"); got != 0 {
			t.Errorf("retries after a window = %v, want 0", got)
		}
	})
}

// The failures of one group must not use up the retries of another.
func TestGroupsAreBoundedSeparately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newHost(time.Now(), one, nil)
		time.Sleep(window)
		for s.TryRetry("g", "r") {
		}
		if !s.TryRetry("h", "r") {
			t.Error("no retry for the other group, want one")
		}
	})
}
