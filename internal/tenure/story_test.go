package tenure_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// stories is how many are told at random.
var stories = flag.Uint64("stories", 100, "how many stories are told at random")

// A write of a host that was held up reaches the store after it came back, where the number that it expects was given out again. What it writes is of
// the time before, and must give no host an engine, nor take one from another.
func TestLateWriteOfTheEraBeforeIsVoid(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			tell(t, func(s *story) {
				r := rand.New(rand.NewPCG(seed, 0))
				s.register("new")
				s.pass(time.Duration(r.IntN(4000)) * time.Millisecond)
				for _, h := range s.hosts {
					h.setLate(r.IntN(2) == 0)
				}
				s.pass(time.Duration(r.IntN(3000)) * time.Millisecond)
				s.db.ComeBack(time.Duration(r.IntN(8000)) * time.Millisecond)
				s.pass(time.Duration(r.IntN(2000)) * time.Millisecond)
				for _, h := range s.hosts {
					h.setLate(false)
				}
				s.pass(takeover + turn)
				s.wantHeld("in the end")
			})
		})
	}
}

// Hosts are cut off, held up and started again, engines register, answers are lost and writes come late, and the store comes back from copies again
// and again. No engine has two holders with one fence, a lower fence after a higher one, or two holders within a turn; in the end each has a holder.
func TestNoEngineHasTwoHoldersWhateverTheStoreHasLost(t *testing.T) {
	for seed := range *stories {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			tell(t, func(s *story) {
				r := rand.New(rand.NewPCG(seed, 1))
				for range 30 {
					s.happen(r)
					s.pass(time.Duration(r.IntN(4000)) * time.Millisecond)
				}
				s.wantSettled()
			})
		})
	}
}

// happen does one thing to the site.
func (s *story) happen(r *rand.Rand) {
	ips := s.ips()
	ip := ips[r.IntN(len(ips))]
	h := s.hosts[ip]
	switch r.IntN(9) {
	case 0, 1:
		s.comeBack(time.Duration(r.IntN(3000))*time.Millisecond, time.Duration(r.IntN(10000))*time.Millisecond)
	case 2:
		h.setCut(r.IntN(2) == 0)
	case 3:
		h.setCut(true)
		s.pass(time.Duration(r.IntN(18000)) * time.Millisecond)
		h.setCut(false)
	case 4:
		s.begin(ip)
	case 5:
		s.register(fmt.Sprint("n", len(s.engines)))
	case 6:
		h.setLate(r.IntN(2) == 0)
	case 7:
		h.setLossy(r.IntN(2) == 0)
	case 8:
		if len(ips) < 5 {
			s.begin(fmt.Sprint("10.0.0.", 10+len(ips)))
		} else {
			s.end(ip)
		}
	}
}

// ips returns the hosts in the same order each time.
func (s *story) ips() []string {
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

// wantSettled ends all trouble between hosts and the store, and checks that engines have their hosts again once the leases of before are over.
func (s *story) wantSettled() {
	s.t.Helper()
	for _, ip := range s.ips() {
		h := s.hosts[ip]
		h.setCut(false)
		h.setLate(false)
		h.setLossy(false)
	}
	s.pass(2*takeover + turn)
	s.wantHeld("in the end")
}
