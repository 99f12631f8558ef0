package tenure_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Forty hosts learn of a hundred engines only after their sessions have begun. If the number of owners followed from what was known before,
// a few hosts would hold all engines, and their share of the weight store would load to one engine after the other.
func TestEnginesLearnedLateAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ids []string
		for i := range 100 {
			ids = append(ids, fmt.Sprint("e", i))
		}
		s := newSite(t, ids...)
		s.engineDelay = 1500 * time.Millisecond
		var hosts []*host
		for i := range 40 {
			hosts = append(hosts, s.startHost(fmt.Sprint("10.0.0.", i+1)))
		}
		time.Sleep(10 * time.Second)
		owners, largest, total := 0, 0, 0
		for _, h := range hosts {
			n := len(h.OwnedEngines())
			total += n
			largest = max(largest, n)
			if n > 0 {
				owners++
			}
		}
		if total != len(ids) {
			t.Errorf("engines with an owner = %d, want %d", total, len(ids))
		}
		if minOwners := 12; owners < minOwners {
			t.Errorf("hosts that hold engines = %d, want at least %d", owners, minOwners)
		}
		if want := 14; largest > want {
			t.Errorf("engines of one host = %d, want at most %d", largest, want)
		}
	})
}

// Many hosts start at once. A host that does not know the others yet must not take itself for an owner, or each writes and reads its row
// twice in the first second, all at the same time.
func TestSimultaneousStartBeginsFewSessions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		const count = 60
		var hosts []*host
		for i := range count {
			hosts = append(hosts, s.startHost(fmt.Sprintf("10.0.0.%d", i)))
		}
		time.Sleep(4 * time.Second)
		writes, holders := writeCount(hosts), 0
		for _, h := range hosts {
			if h.LeaseLeft() > 0 {
				holders++
			}
		}
		if holders < 8 || holders > 12 {
			t.Errorf("hosts that may give orders = %d, want about 8", holders)
		}
		if got, want := writes, count+holders*4; got > want {
			t.Errorf("writes = %d, want at most %d: one a host, and few more for those that give orders", got, want)
		}
		for _, id := range []string{"a", "e", "j"} {
			if s.orderingHost(hosts, id) == "" {
				t.Errorf("engine %s has no owner", id)
			}
		}
	})
}

// writeCount returns how often hosts have written to the store.
func writeCount(hosts []*host) int {
	sum := 0
	for _, h := range hosts {
		h.mu.Lock()
		sum += h.writes
		h.mu.Unlock()
	}
	return sum
}

// orderingHost returns the host that may send an engine orders.
func (s *site) orderingHost(hosts []*host, id string) string {
	for _, h := range hosts {
		if _, ok := h.Fence(id); ok {
			return h.IP
		}
	}
	return ""
}

// Most hosts are unreachable for a moment. They still use their share of the site's limits, so only those whose sessions have ended must
// not count any more.
func TestSilentHostsStillCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a")
		var hosts []*host
		for i := range 5 {
			hosts = append(hosts, s.startHost(fmt.Sprintf("10.0.0.%d", i)))
		}
		time.Sleep(5 * time.Second)
		for _, h := range hosts[1:] {
			h.setCut(true)
		}
		time.Sleep(5 * time.Second)
		if got, want := hosts[0].HostCount(), 5; got != want {
			t.Errorf("hosts = %d 5 s after the others were cut off, want %d", got, want)
		}
		time.Sleep(time.Minute)
		if got, want := hosts[0].HostCount(), 1; got != want {
			t.Errorf("hosts = %d after all other sessions have ended, want %d", got, want)
		}
	})
}

// A host reaches nobody for some seconds since its relays died. As passive hosts do not renew their rows, only answers of others show that
// they live: it must not end all sessions, nor become an owner, as every host that reaches nobody would do at once.
func TestBriefSilenceEndsNoSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a", "b")
		var hosts []*host
		for i := range 20 {
			hosts = append(hosts, s.startHost(fmt.Sprintf("10.0.0.%d", i)))
		}
		time.Sleep(3 * time.Minute)
		s.readDelegated.Store(true)
		time.Sleep(30 * time.Second)
		before := writeCount(hosts)
		s.hostsSilent.Store(true)
		time.Sleep(2 * time.Second)
		s.readDelegated.Store(false)
		time.Sleep(6 * time.Second)
		s.hostsSilent.Store(false)
		time.Sleep(5 * time.Second)
		if got, want := len(hosts[0].Hosts()), 20; got != want {
			t.Errorf("hosts = %d after a moment of silence, want %d", got, want)
		}
		if got, want := writeCount(hosts)-before, 8*6; got > want {
			t.Errorf("writes = %d in 13 s, want %d at most: the renewals of those that give orders", got, want)
		}
	})
}
