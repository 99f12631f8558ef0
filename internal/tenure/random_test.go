package tenure_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// scenarioCount is how many random scenarios are run.
var scenarioCount = flag.Uint64("stories", 100, "number of random scenarios to run")

// A delayed write reaches the store after a restore, where the revision that it expects was issued again. It must give no host an engine,
// nor take one from a host.
func TestLateWriteOfEarlierEraIsVoid(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				r := rand.New(rand.NewPCG(seed, 0))
				s.addEngine("new")
				s.elapse(time.Duration(r.IntN(4000)) * time.Millisecond)
				for _, h := range s.hosts {
					h.setLate(r.IntN(2) == 0)
				}
				s.elapse(time.Duration(r.IntN(3000)) * time.Millisecond)
				s.db.ComeBack(time.Duration(r.IntN(8000)) * time.Millisecond)
				s.elapse(time.Duration(r.IntN(2000)) * time.Millisecond)
				for _, h := range s.hosts {
					h.setLate(false)
				}
				s.elapse(maxTakeover + orderGap)
				s.wantOwned("in the end")
			})
		})
	}
}

// Under random faults and repeated restores, no engine has two owners with one fence, a lower fence after a higher one, or two holders
// within the gap between orders; in the end each has an owner.
func TestNoEngineHasTwoOwnersUnderFaults(t *testing.T) {
	for seed := range *scenarioCount {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				r := rand.New(rand.NewPCG(seed, 1))
				for range 30 {
					s.injectFault(r)
					s.elapse(time.Duration(r.IntN(4000)) * time.Millisecond)
				}
				s.wantSettled()
			})
		})
	}
}

// injectFault does one random thing to the site.
func (s *scenario) injectFault(r *rand.Rand) {
	ips := s.ips()
	ip := ips[r.IntN(len(ips))]
	h := s.hosts[ip]
	switch r.IntN(9) {
	case 0, 1:
		s.restoreStore(time.Duration(r.IntN(3000))*time.Millisecond, time.Duration(r.IntN(10000))*time.Millisecond)
	case 2:
		h.setCut(r.IntN(2) == 0)
	case 3:
		h.setCut(true)
		s.elapse(time.Duration(r.IntN(18000)) * time.Millisecond)
		h.setCut(false)
	case 4:
		s.restartHost(ip)
	case 5:
		s.addEngine(fmt.Sprint("n", len(s.engines)))
	case 6:
		h.setLate(r.IntN(2) == 0)
	case 7:
		h.setLossy(r.IntN(2) == 0)
	case 8:
		if len(ips) < 5 {
			s.restartHost(fmt.Sprint("10.0.0.", 10+len(ips)))
		} else {
			s.stopHost(ip)
		}
	}
}

// ips returns the hosts in the same order each time.
func (s *scenario) ips() []string {
	var list []string
	for ip := range s.hosts {
		list = append(list, ip)
	}
	slices.Sort(list)
	return list
}

func (h *host) setLossy(lossy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lossy = lossy
}

// wantSettled ends all faults between hosts and the store, and checks that engines have owners again once the earlier leases have ended.
func (s *scenario) wantSettled() {
	s.t.Helper()
	for _, ip := range s.ips() {
		h := s.hosts[ip]
		h.setCut(false)
		h.setLate(false)
		h.setLossy(false)
	}
	s.elapse(2*maxTakeover + orderGap)
	s.wantOwned("in the end")
}
