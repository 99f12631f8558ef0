package tenure_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rates"
	"damaskreach/internal/tenure"
)

// All hosts start together. Every engine must soon have one owner; without one it would never load anything.
func TestEveryEngineGetsAHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3", "e4", "e5")
		a, b, c := s.startHost("10.0.0.1"), s.startHost("10.0.0.2"), s.startHost("10.0.0.3")
		time.Sleep(4 * time.Second)
		for id := range s.engines {
			if s.owner(id, a, b, c) == "" {
				t.Errorf("%s has no owner after 4 s", id)
			}
		}
		s.watch(10*time.Second, a, b, c)
	})
}

// An owner is cut off from the store. Its lease must end before another host sends orders, as both at once would overfill the engine, and
// it must not resume orders to engines that others have taken.
func TestTakeoverDoesNotOverlapLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a, b := s.startHost("10.0.0.1"), s.startHost("10.0.0.2")
		time.Sleep(4 * time.Second)
		a.setCut(true)
		s.watch(tenure.Lease+14*time.Second, a, b)
		for id := range s.engines {
			if got, want := s.owner(id, a, b), "10.0.0.2"; got != want {
				t.Errorf("owner of %s = %q, want %q", id, got, want)
			}
		}
		a.setCut(false)
		s.watch(tenure.Lease+14*time.Second, a, b)
	})
}

// A host freezes during its renewal for longer than its lease. The renewal reaches the store after others took over; it must not make the
// host trust its lease.
func TestLateRenewalOfFrozenHostIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a, b := s.startHost("10.0.0.1"), s.startHost("10.0.0.2")
		time.Sleep(4 * time.Second)
		thaw := make(chan struct{})
		a.mu.Lock()
		a.frozen = thaw
		a.mu.Unlock()
		s.watch(tenure.Lease+9*time.Second, a, b)
		a.mu.Lock()
		a.frozen = nil
		a.mu.Unlock()
		close(thaw)
		s.watch(tenure.Lease+9*time.Second, a, b)
	})
}

// All hosts restart after a power loss. Each resumes with its engines at once, since its predecessor is dead; waiting for the leases to end
// would stop loads for ten seconds.
func TestRestartedHostResumesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a, b := s.startHost("10.0.0.1"), s.startHost("10.0.0.2")
		time.Sleep(6 * time.Second)
		a.cancel()
		b.cancel()
		time.Sleep(time.Second)
		a, b = s.startHost("10.0.0.1"), s.startHost("10.0.0.2")
		time.Sleep(1500 * time.Millisecond)
		for id := range s.engines {
			if s.owner(id, a, b) == "" {
				t.Errorf("%s has no owner 1.5 s after the restart", id)
			}
		}
		s.watch(10*time.Second, a, b)
	})
}

// The store loses the answers to writes that it has applied. A host must recognize its own renewal: taken for a foreign write, each
// lost answer would cost it its engines.
func TestLostResponsesKeepLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1")
		a := s.startHost("10.0.0.1")
		time.Sleep(4 * time.Second)
		a.mu.Lock()
		a.lossy = true
		a.mu.Unlock()
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if s.owner("e1", a) == "" {
				t.Fatal("the engine has no owner, want the lease kept")
			}
		}
	})
}

// All hosts lose power together. Measurements of engines must be available when they restart, before any new ones are made: most callers
// wait at that time.
func TestMeasurementsSurviveFullRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2")
		s.measured = rates.Rates{TokenTime: 27 * time.Microsecond, EventInterval: 32 * time.Millisecond}
		var hosts []*host
		for _, ip := range []string{"10.0.0.1", "10.0.0.2"} {
			hosts = append(hosts, s.startHost(ip))
		}
		time.Sleep(5 * time.Second)
		for _, h := range hosts {
			h.cancel()
		}
		synctest.Wait()
		h := s.startHost("10.0.0.1")
		time.Sleep(100 * time.Millisecond)
		if got := h.Rates(); got != s.measured {
			t.Errorf("Rates of a host that has just started = %v, want %v", got, s.measured)
		}
	})
}
