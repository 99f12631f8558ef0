package tenure_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// handoverTimeout is within which others order the engines of a host that cannot reach them: the gap between orders, the margin, and the
	// time to read and write the rows.
	handoverTimeout = orderGap + 1500*time.Millisecond
	// notifyDelay is within which hosts learn that another one has read or written something new.
	notifyDelay = 300 * time.Millisecond
	// lateHandoverTimeout is the same where each write of that host gets no answer, and is applied late.
	lateHandoverTimeout = handoverTimeout + 8*time.Second
)

// startBlockable starts a host that cannot reach engines while blocked is set.
func (s *site) startBlockable(ip string, blocked *atomic.Bool, of string) *host {
	return s.startHostWith(ip, func(h *host) {
		h.Blocked = func(string) bool { return ip == of && blocked.Load() }
		h.ShouldRelease = func(string) bool { return ip == of && blocked.Load() }
		h.LastOrder = func(id string) (time.Duration, bool) { return h.lastOrder(id) }
		h.PeerReaches = func(other string) bool { return other != of || !blocked.Load() }
	})
}

// runBlocked runs three hosts, the first of which loses its engines; meanwhile is called then.
func runBlocked(t *testing.T, within time.Duration, meanwhile func(s *site, h *host, blocked *atomic.Bool) *host) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9")
		var blocked atomic.Bool
		ips := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
		var hosts []*host
		for _, ip := range ips {
			hosts = append(hosts, s.startBlockable(ip, &blocked, ips[0]))
		}
		s.watch(12*time.Second, hosts...)
		if len(hosts[0].OwnedEngines()) == 0 {
			t.Fatal("the first host owns no engine, want some")
		}
		blocked.Store(true)
		hosts[0].ClaimSoon()
		hosts[0] = meanwhile(s, hosts[0], &blocked)
		s.watch(notifyDelay, hosts...)
		for _, h := range hosts[1:] {
			h.NotifyNewer(hosts[0].NewestRev()) // as hosts notify each other
		}
		s.watch(within-notifyDelay, hosts...)
		for id := range s.engines {
			if s.owner(id, hosts[1:]...) == "" {
				t.Errorf("no host that reaches %s owns it %v after its owner lost it", id, within)
			}
		}
		blocked.Store(false)
		s.watch(10*time.Second, hosts...)
	})
}

// An owner cannot reach its engines any more, but the store renews its lease. Without a handover they would load nothing until it reaches
// them again.
func TestUnreachableEnginesAreHandedOver(t *testing.T) {
	runBlocked(t, handoverTimeout, func(_ *site, h *host, _ *atomic.Bool) *host { return h })
}

// The answers to its writes are lost: it must not order engines that it may have released.
func TestUnconfirmedReleaseStopsOrders(t *testing.T) {
	runBlocked(t, lateHandoverTimeout, func(s *site, h *host, blocked *atomic.Bool) *host {
		h.mu.Lock()
		h.lossy, h.late = true, true
		h.mu.Unlock()
		s.watch(time.Second, h)
		blocked.Store(false) // it reaches engines again before it knows the outcome of the write
		s.watch(time.Second, h)
		blocked.Store(true)
		h.mu.Lock()
		h.lossy, h.late = false, false
		h.mu.Unlock()
		return h
	})
}

// The process restarts just after it has released its engines, and reaches them again: it must not own them again before others may.
func TestRestartedHostDoesNotOrderReleasedEngines(t *testing.T) {
	runBlocked(t, lateHandoverTimeout+lateHandoverTimeout, func(s *site, h *host, blocked *atomic.Bool) *host {
		s.watch(time.Second, h)
		h.cancel()
		return s.startBlockable("10.0.0.1", blocked, "10.0.0.1")
	})
}

// A host loses its engines for a moment, and nobody has claimed them when it reaches them again: it may claim them no sooner than others.
func TestRecoveredHostWaitsBeforeReclaiming(t *testing.T) {
	runBlocked(t, handoverTimeout, func(s *site, h *host, blocked *atomic.Bool) *host {
		s.watch(time.Second, h)
		blocked.Store(false)
		s.watch(time.Second, h)
		blocked.Store(true)
		return h
	})
}
