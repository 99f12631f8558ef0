package tenure_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Forty hosts start and learn of a hundred engines only after their sessions have begun. Were the number of hosts that give
// orders taken from what is known by then, a handful would hold all engines for good, some of them half; their share of the
// weight store would serve those engines one load after the other while the rest of the hosts had nothing to load.
func TestEnginesAreSpreadThoughLearntOfLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ids []string
		for i := range 100 {
			ids = append(ids, fmt.Sprint("e", i))
		}
		s := newSite(t, ids...)
		s.unknown = 1500 * time.Millisecond
		var hosts []*host
		for i := range 40 {
			hosts = append(hosts, s.start(fmt.Sprint("10.0.0.", i+1)))
		}
		time.Sleep(10 * time.Second)
		held, most, all := 0, 0, 0
		for _, h := range hosts {
			n := len(h.Mine())
			all += n
			most = max(most, n)
			if n > 0 {
				held++
			}
		}
		if all != len(ids) {
			t.Errorf("engines with a host = %d, want %d", all, len(ids))
		}
		if least := 12; held < least {
			t.Errorf("hosts that hold engines = %d, want at least %d", held, least)
		}
		if want := 14; most > want {
			t.Errorf("engines of one host = %d, want at most %d", most, want)
		}
	})
}

// A site of many hosts starts at once. Before a host knows the others it would take itself for one of the few that give orders,
// and each would write and read its row twice over in the first second, all at the same time.
func TestHostsThatStartTogetherBeginNoSessionInVain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		const count = 60
		var hosts []*host
		for i := range count {
			hosts = append(hosts, s.start(fmt.Sprintf("10.0.0.%d", i)))
		}
		time.Sleep(4 * time.Second)
		writes, holders := written(hosts), 0
		for _, h := range hosts {
			if h.Left() > 0 {
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
			if s.giver(hosts, id) == "" {
				t.Errorf("engine %s has no host", id)
			}
		}
	})
}

// written returns how often hosts have written to the store.
func written(hosts []*host) int {
	sum := 0
	for _, h := range hosts {
		h.mu.Lock()
		sum += h.writes
		h.mu.Unlock()
	}
	return sum
}

// giver returns the host that may give an engine its orders.
func (s *site) giver(hosts []*host, id string) string {
	for _, h := range hosts {
		if _, ok := h.Fence(id); ok {
			return h.IP
		}
	}
	return ""
}

// Most hosts of a site cannot be heard for a moment. They still share what all may use together, since they go on using it; only
// hosts whose sessions have ended count no more.
func TestHostsThatAreNotHeardStillCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a")
		var hosts []*host
		for i := range 5 {
			hosts = append(hosts, s.start(fmt.Sprintf("10.0.0.%d", i)))
		}
		time.Sleep(5 * time.Second)
		for _, h := range hosts[1:] {
			h.setCut(true)
		}
		time.Sleep(5 * time.Second)
		if got, want := hosts[0].Count(), 5; got != want {
			t.Errorf("hosts = %d 5 s after the others were cut off, want %d", got, want)
		}
		time.Sleep(time.Minute)
		if got, want := hosts[0].Count(), 1; got != want {
			t.Errorf("hosts = %d after all other sessions have ended, want %d", got, want)
		}
	})
}

// A site runs for long, and a host hears nobody for some seconds: its relays have died. Most hosts do not renew their rows, so that only
// others' hearing tells that they live. It must not end the sessions of all of them, nor take their place and give orders itself, as
// all that hear nobody would at the same moment.
func TestMomentOfSilenceEndsNoSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "a", "b")
		var hosts []*host
		for i := range 20 {
			hosts = append(hosts, s.start(fmt.Sprintf("10.0.0.%d", i)))
		}
		time.Sleep(3 * time.Minute)
		s.relaxed.Store(true)
		time.Sleep(30 * time.Second)
		before := written(hosts)
		s.deaf.Store(true)
		time.Sleep(2 * time.Second)
		s.relaxed.Store(false)
		time.Sleep(6 * time.Second)
		s.deaf.Store(false)
		time.Sleep(5 * time.Second)
		if got, want := len(hosts[0].Hosts()), 20; got != want {
			t.Errorf("hosts = %d after a moment of silence, want %d", got, want)
		}
		if got, want := written(hosts)-before, 8*6; got > want {
			t.Errorf("writes = %d in 13 s, want %d at most: the renewals of those that give orders", got, want)
		}
	})
}
