package tenure_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/tenure"
)

const (
	// away is how long the store is away before it comes back from a copy, and lost how much of what it had acknowledged before is gone then.
	away = 2 * time.Second
	lost = 6 * time.Second
	// takeover is the longest that an engine is without a host after that, where none of the hosts held it.
	takeover = tenure.Lease + turn + 4*time.Second
)

// story is a site that is watched while things happen to it.
type story struct {
	*site
	t     *testing.T
	hosts map[string]*host
	seen  map[string]order
}

// tell runs a story about three hosts that hold six engines.
func tell(t *testing.T, what func(s *story)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &story{site: newSite(t, engines(6)...), t: t, hosts: map[string]*host{}, seen: map[string]order{}}
		for i := range 3 {
			s.begin(fmt.Sprint("10.0.0.", i+1))
		}
		s.pass(15 * time.Second)
		what(s)
	})
}

// begin starts the program on a host, in place of the one that runs there.
func (s *story) begin(ip string) {
	if h := s.hosts[ip]; h != nil {
		h.cancel()
		synctest.Wait()
	}
	s.hosts[ip] = s.start(ip)
}

// end ends the program on a host.
func (s *story) end(ip string) {
	s.hosts[ip].cancel()
	synctest.Wait()
	delete(s.hosts, ip)
}

func (s *story) all() []*host {
	var list []*host
	for _, h := range s.hosts {
		list = append(list, h)
	}
	return list
}

// pass watches the hosts for a time.
func (s *story) pass(d time.Duration) {
	s.t.Helper()
	for range int(d / (50 * time.Millisecond)) {
		time.Sleep(50 * time.Millisecond)
		s.look(s.seen, s.all()...)
	}
}

// comeBack has the store go away and come back from a copy that lacks what was written in the time before.
func (s *story) comeBack(gone, lacks time.Duration) {
	s.t.Helper()
	s.db.SetDown(true)
	s.pass(gone)
	s.db.ComeBack(gone + lacks)
	s.db.SetDown(false)
}

// wantHeld fails where an engine has no host.
func (s *story) wantHeld(when string, ids ...string) {
	s.t.Helper()
	if len(ids) == 0 {
		for id := range s.engines {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		if s.holder(id, s.all()...) == "" {
			s.t.Errorf("%s has no host %s", id, when)
		}
	}
}

// holders returns which host holds each engine.
func (s *story) holders() map[string]string {
	held := map[string]string{}
	for id := range s.engines {
		held[id] = s.holder(id, s.all()...)
	}
	return held
}

// wantSame fails where engines that had a host have another one, or none.
func (s *story) wantSame(before map[string]string) {
	s.t.Helper()
	for id, got := range s.holders() {
		if want := before[id]; want != "" && got != want {
			s.t.Errorf("host of %s = %q, want %q as before", id, got, want)
		}
	}
}

// register adds an engine.
func (s *story) register(id string) {
	s.adding.Lock()
	defer s.adding.Unlock()
	s.engines[id] = "dc"
}

// claimed adds an engine and returns which host has claimed it.
func (s *story) claimed(id string) *host {
	s.t.Helper()
	s.register(id)
	for range 200 {
		s.pass(50 * time.Millisecond)
		if ip := s.holder(id, s.all()...); ip != "" {
			return s.hosts[ip]
		}
	}
	s.t.Fatalf("%s has no host 10 s after it has registered", id)
	return nil
}

// The store comes back from a copy and gives revisions out again. Hosts that take its rows for older than their own renew nothing from then on,
// and after the lease no engine has a host.
func TestHostsGoOnAfterTheStoreCameBackFromACopy(t *testing.T) {
	tell(t, func(s *story) {
		before := s.holders()
		s.comeBack(away, lost)
		for range 20 {
			s.pass(time.Second)
			s.wantHeld("after the store came back")
			s.wantSame(before)
		}
	})
}

// A host claims an engine, and the store comes back without the claim. Whoever reads the older rows later claims the engine with the same fence.
func TestFenceOfALostClaimIsNotGivenOutAgain(t *testing.T) {
	tell(t, func(s *story) {
		s.claimed("new")
		s.comeBack(away, lost)
		s.pass(3 * time.Second)
		s.wantHeld("after the store came back", "new")
		for ip := range s.hosts {
			s.begin(ip)
		}
		s.pass(10 * time.Second)
		s.wantHeld("after the restart")
	})
}

// A host takes engines over, and the store comes back without that: its rows say that the host before holds them. That one is back by then, and
// must not order with the lower fence, nor beside the other.
func TestHostOfALostTakeoverKeepsTheEngines(t *testing.T) {
	tell(t, func(s *story) {
		s.hosts["10.0.0.1"].setCut(true)
		for before, i := s.holders(), 0; i < 600; i++ {
			s.pass(50 * time.Millisecond)
			taken := s.holders()
			if taken["e0"] != "" && taken["e0"] != "10.0.0.1" && s.took(before, taken) {
				break
			}
		}
		s.hosts["10.0.0.1"].setCut(false)
		s.pass(time.Second)
		before := s.holders()
		s.comeBack(away, lost)
		s.pass(5 * time.Second)
		s.wantSame(before)
		s.pass(30 * time.Second)
		s.wantHeld("in the end")
	})
}

// took reports whether all engines of one host have gone to others.
func (s *story) took(before, now map[string]string) bool {
	for id, ip := range before {
		if ip == "10.0.0.1" && (now[id] == "" || now[id] == ip) {
			return false
		}
	}
	return true
}

// A session begins and claims an engine, and the store comes back without either.
func TestLostSessionKeepsItsEngine(t *testing.T) {
	tell(t, func(s *story) {
		begun := time.Now()
		s.begin("10.0.0.4")
		s.pass(2 * time.Second)
		for i := range 12 {
			s.register(fmt.Sprint("n", i))
		}
		for range 200 {
			if s.pass(50 * time.Millisecond); len(s.hosts["10.0.0.4"].Mine()) > 0 {
				break
			}
		}
		before := s.holders()
		s.comeBack(away, time.Since(begun)+time.Second)
		s.pass(4 * time.Second)
		s.wantSame(before)
		s.pass(takeover)
		s.wantHeld("in the end")
	})
}

// A host does not reach the store when it comes back, and goes on by its lease. What the store lost of its claims is nobody's until that is over.
func TestHostCutOffAtTheComebackIsNotDisplaced(t *testing.T) {
	for name, cutAfter := range map[string]time.Duration{"before": 0, "after a renewal": 2600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			tell(t, func(s *story) {
				h := s.claimed("new")
				s.pass(cutAfter)
				h.setCut(true)
				s.comeBack(away, lost)
				s.pass(takeover + turn)
				s.wantHeld("after the lease of the host that was cut off")
				h.setCut(false)
				s.pass(20 * time.Second)
				s.wantHeld("in the end")
			})
		})
	}
}

// A host starts again as the store comes back from a copy that says that it holds engines. Others may have taken them in what was lost.
func TestHostThatStartsAtTheComebackDoesNotTrustTheCopy(t *testing.T) {
	tell(t, func(s *story) {
		s.hosts["10.0.0.1"].setCut(true)
		s.pass(tenure.Lease + turn + 2*time.Second)
		s.hosts["10.0.0.1"].setCut(false)
		s.db.SetDown(true)
		s.pass(away)
		s.begin("10.0.0.1")
		s.db.ComeBack(away + lost)
		s.db.SetDown(false)
		s.pass(takeover)
		s.wantHeld("in the end")
	})
}

// All hosts start again as the store comes back. None of them knows what was lost; a claim that was is anybody's once its lease is over.
func TestSiteThatStartsAtTheComebackWaits(t *testing.T) {
	tell(t, func(s *story) {
		s.claimed("new")
		s.db.SetDown(true)
		s.pass(away)
		s.db.ComeBack(away + lost)
		s.db.SetDown(false)
		for ip := range s.hosts {
			s.begin(ip)
		}
		s.pass(takeover)
		s.wantHeld("after the wait")
	})
}

// The store comes back from a copy, and again before hosts have claimed anything anew.
func TestStoreComesBackTwiceInARow(t *testing.T) {
	for _, between := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 9 * time.Second, 20 * time.Second} {
		t.Run(between.String(), func(t *testing.T) {
			tell(t, func(s *story) {
				s.claimed("new")
				s.comeBack(away, lost)
				s.pass(between)
				s.comeBack(away, lost)
				s.pass(5 * time.Second)
				s.wantHeld("after the second time")
				s.pass(20 * time.Second)
				s.wantHeld("in the end")
			})
		})
	}
}
