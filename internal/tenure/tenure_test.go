package tenure_test

import (
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rates"
	"damaskreach/internal/tenure"
)

// All hosts start together. Every engine soon has one host for its orders; one without would never load anything.
func TestEveryEngineGetsAHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3", "e4", "e5")
		a, b, c := s.start("10.0.0.1"), s.start("10.0.0.2"), s.start("10.0.0.3")
		time.Sleep(4 * time.Second)
		for id := range s.engines {
			if s.holder(id, a, b, c) == "" {
				t.Errorf("%s has no host after 4 s", id)
			}
		}
		s.watch(10*time.Second, a, b, c)
	})
}

// The host of an engine loses its way to the store. Its lease ends before another host gives orders: both at once would
// overfill the engine. When it is back it must not go on with the engines that others have taken.
func TestCutOffHostIsSucceededWithoutOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a, b := s.start("10.0.0.1"), s.start("10.0.0.2")
		time.Sleep(4 * time.Second)
		a.setCut(true)
		s.watch(tenure.Lease+14*time.Second, a, b)
		for id := range s.engines {
			if got, want := s.holder(id, a, b), "10.0.0.2"; got != want {
				t.Errorf("host of %s = %q, want %q", id, got, want)
			}
		}
		a.setCut(false)
		s.watch(tenure.Lease+14*time.Second, a, b)
	})
}

// A host is frozen in the middle of its renewal, for longer than its lease. The renewal reaches the store when it goes on,
// after others took over; it must not make the host believe in its lease.
func TestRenewalOfAFrozenHostComesTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a, b := s.start("10.0.0.1"), s.start("10.0.0.2")
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

// All hosts lose power and come back. Each knows that its own predecessor is dead and goes on with its engines at once;
// waiting for the leases to end would leave callers without loads for ten seconds.
func TestRestartedHostGoesOnAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a, b := s.start("10.0.0.1"), s.start("10.0.0.2")
		time.Sleep(6 * time.Second)
		a.cancel()
		b.cancel()
		time.Sleep(time.Second)
		a, b = s.start("10.0.0.1"), s.start("10.0.0.2")
		time.Sleep(1500 * time.Millisecond)
		for id := range s.engines {
			if s.holder(id, a, b) == "" {
				t.Errorf("%s has no host 1.5 s after the restart", id)
			}
		}
		s.watch(10*time.Second, a, b)
	})
}

// The store loses the answers of writes that it has applied. A host whose renewal was lost this way must find out and go
// on; taken for a foreign write, each lost answer would cost it its engines.
func TestLostAnswersDoNotCostTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1")
		a := s.start("10.0.0.1")
		time.Sleep(4 * time.Second)
		a.mu.Lock()
		a.lossy = true
		a.mu.Unlock()
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if s.holder("e1", a) == "" {
				t.Fatal("the engine has no host, want the lease kept")
			}
		}
	})
}

// All hosts lose power together. What they had measured of the engines must be there when they come back, before any of them has
// measured anything anew: it is the moment at which most callers wait.
func TestMeasurementsOutliveAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2")
		s.measured = rates.Rates{Token: 27 * time.Microsecond, Event: 32 * time.Millisecond}
		var hosts []*host
		for _, ip := range []string{"10.0.0.1", "10.0.0.2"} {
			hosts = append(hosts, s.start(ip))
		}
		time.Sleep(5 * time.Second)
		for _, h := range hosts {
			h.cancel()
		}
		synctest.Wait()
		h := s.start("10.0.0.1")
		time.Sleep(100 * time.Millisecond)
		if got := h.Rates(); got != s.measured {
			t.Errorf("Rates of a host that has just started = %v, want %v", got, s.measured)
		}
	})
}
