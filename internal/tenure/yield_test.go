package tenure_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// handedOver is within which others order the engines of a host that cannot reach them: the time between two hosts' orders, margin, and what it takes
	// to see and write it.
	handedOver = turn + 1500*time.Millisecond
	// told is within which hosts are told that another one has read or written something new.
	told = 300 * time.Millisecond
	// handedLate is the same where each write of that host gets no answer, and is carried out late.
	handedLate = handedOver + 8*time.Second
)

// blockable starts a host that loses its way to engines while blocked says so.
func (s *site) blockable(ip string, blocked *atomic.Bool, of string) *host {
	return s.started(ip, func(h *host) {
		h.Blocked = func(string) bool { return ip == of && blocked.Load() }
		h.Yields = func(string) bool { return ip == of && blocked.Load() }
		h.Ordered = func(id string) (time.Duration, bool) { return h.last(id) }
		h.Able = func(other string) bool { return other != of || !blocked.Load() }
	})
}

// eachBlocked plays three hosts of which the first has lost its way to its engines; meanwhile is called then.
func eachBlocked(t *testing.T, within time.Duration, meanwhile func(s *site, h *host, blocked *atomic.Bool) *host) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9")
		var blocked atomic.Bool
		ips := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
		var hosts []*host
		for _, ip := range ips {
			hosts = append(hosts, s.blockable(ip, &blocked, ips[0]))
		}
		s.watch(12*time.Second, hosts...)
		if len(hosts[0].Mine()) == 0 {
			t.Fatal("the first host holds no engine, want some")
		}
		blocked.Store(true)
		hosts[0].Look()
		hosts[0] = meanwhile(s, hosts[0], &blocked)
		s.watch(told, hosts...)
		for _, h := range hosts[1:] {
			h.Wake(hosts[0].Mark()) // as hosts tell each other
		}
		s.watch(within-told, hosts...)
		for id := range s.engines {
			if s.holder(id, hosts[1:]...) == "" {
				t.Errorf("no host that reaches %s orders it %v after its own could not any more", id, within)
			}
		}
		blocked.Store(false)
		s.watch(10*time.Second, hosts...)
	})
}

// The host that orders some engines cannot reach them any more, and the store renews its lease. Its engines would load nothing until it has found its
// way again.
func TestEnginesOfAHostThatCannotReachThemAreHandedOver(t *testing.T) {
	eachBlocked(t, handedOver, func(_ *site, h *host, _ *atomic.Bool) *host { return h })
}

// Its writes are carried out and their answers are lost: it must not go on ordering what it may have given up.
func TestHostThatMayHaveGivenUpEnginesDoesNotOrderThem(t *testing.T) {
	eachBlocked(t, handedLate, func(s *site, h *host, blocked *atomic.Bool) *host {
		h.mu.Lock()
		h.lossy, h.late = true, true
		h.mu.Unlock()
		s.watch(time.Second, h)
		blocked.Store(false) // its way is back before it knows what became of the write
		s.watch(time.Second, h)
		blocked.Store(true)
		h.mu.Lock()
		h.lossy, h.late = false, false
		h.mu.Unlock()
		return h
	})
}

// The program on that host starts again just after it has given its engines up, and has found its way: what it had given up it does not order before others
// may.
func TestHostThatRestartsDoesNotOrderWhatItGaveUp(t *testing.T) {
	eachBlocked(t, handedLate+handedLate, func(s *site, h *host, blocked *atomic.Bool) *host {
		s.watch(time.Second, h)
		h.cancel()
		return s.blockable("10.0.0.1", blocked, "10.0.0.1")
	})
}

// A host's way is lost for a moment, and others have not claimed its engines yet when it is back: it may claim them as the others may, and not before.
func TestHostThatFindsItsWayAgainWaitsLikeTheOthers(t *testing.T) {
	eachBlocked(t, handedOver, func(s *site, h *host, blocked *atomic.Bool) *host {
		s.watch(time.Second, h)
		blocked.Store(false)
		s.watch(time.Second, h)
		blocked.Store(true)
		return h
	})
}
