package tenure_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/tenure"
)

const (
	// outage is how long the store is down before it is restored, and lostHistory how much acknowledged history it lacks then.
	outage      = 2 * time.Second
	lostHistory = 6 * time.Second
	// maxTakeover is the longest that an engine is unowned after that, where none of the hosts held it.
	maxTakeover = tenure.Lease + orderGap + 4*time.Second
)

// scenario is a site that is watched while faults are injected.
type scenario struct {
	*site
	t          *testing.T
	hosts      map[string]*host
	lastOrders map[string]order
}

// runScenario runs a scenario with three hosts that hold six engines.
func runScenario(t *testing.T, what func(s *scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{site: newSite(t, engineIDs(6)...), t: t, hosts: map[string]*host{}, lastOrders: map[string]order{}}
		for i := range 3 {
			s.restartHost(fmt.Sprint("10.0.0.", i+1))
		}
		s.elapse(15 * time.Second)
		what(s)
	})
}

// restartHost starts the program on a host, in place of the one that runs there.
func (s *scenario) restartHost(ip string) {
	if h := s.hosts[ip]; h != nil {
		h.cancel()
		synctest.Wait()
	}
	s.hosts[ip] = s.startHost(ip)
}

// stopHost ends the program on a host.
func (s *scenario) stopHost(ip string) {
	s.hosts[ip].cancel()
	synctest.Wait()
	delete(s.hosts, ip)
}

func (s *scenario) allHosts() []*host {
	var list []*host
	for _, h := range s.hosts {
		list = append(list, h)
	}
	return list
}

// elapse watches the hosts for a time.
func (s *scenario) elapse(d time.Duration) {
	s.t.Helper()
	for range int(d / (50 * time.Millisecond)) {
		time.Sleep(50 * time.Millisecond)
		s.checkOrders(s.lastOrders, s.allHosts()...)
	}
}

// restoreStore takes the store down and restores it without the writes of the time before.
func (s *scenario) restoreStore(gone, lacks time.Duration) {
	s.t.Helper()
	s.db.SetDown(true)
	s.elapse(gone)
	s.db.ComeBack(gone + lacks)
	s.db.SetDown(false)
}

// wantOwned fails where an engine has no owner.
func (s *scenario) wantOwned(when string, ids ...string) {
	s.t.Helper()
	if len(ids) == 0 {
		for id := range s.engines {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		if s.owner(id, s.allHosts()...) == "" {
			s.t.Errorf("%s has no owner %s", id, when)
		}
	}
}

// owners returns which host owns each engine.
func (s *scenario) owners() map[string]string {
	held := map[string]string{}
	for id := range s.engines {
		held[id] = s.owner(id, s.allHosts()...)
	}
	return held
}

// wantSameOwners fails where engines that had an owner have another one, or none.
func (s *scenario) wantSameOwners(before map[string]string) {
	s.t.Helper()
	for id, got := range s.owners() {
		if want := before[id]; want != "" && got != want {
			s.t.Errorf("owner of %s = %q, want %q as before", id, got, want)
		}
	}
}

// addEngine registers an engine.
func (s *scenario) addEngine(id string) {
	s.enginesMu.Lock()
	defer s.enginesMu.Unlock()
	s.engines[id] = "dc"
}

// addClaimedEngine registers an engine and returns which host has claimed it.
func (s *scenario) addClaimedEngine(id string) *host {
	s.t.Helper()
	s.addEngine(id)
	for range 200 {
		s.elapse(50 * time.Millisecond)
		if ip := s.owner(id, s.allHosts()...); ip != "" {
			return s.hosts[ip]
		}
	}
	s.t.Fatalf("%s has no owner 10 s after it has registered", id)
	return nil
}

// The store is restored from a backup and issues the lost revisions again. If hosts took its rows for older than their own, they would
// renew nothing, and after the lease no engine would have an owner.
func TestHostsKeepEnginesAfterStoreRestore(t *testing.T) {
	runScenario(t, func(s *scenario) {
		before := s.owners()
		s.restoreStore(outage, lostHistory)
		for range 20 {
			s.elapse(time.Second)
			s.wantOwned("after the restore")
			s.wantSameOwners(before)
		}
	})
}

// The store loses a claim in a restore. A host that reads the older rows later must not claim the engine with the same fence.
func TestFenceOfLostClaimIsNotReused(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.addClaimedEngine("new")
		s.restoreStore(outage, lostHistory)
		s.elapse(3 * time.Second)
		s.wantOwned("after the restore", "new")
		for ip := range s.hosts {
			s.restartHost(ip)
		}
		s.elapse(10 * time.Second)
		s.wantOwned("after the restart")
	})
}

// The store loses a takeover in a restore, so its rows name the previous owner, which is back by then. It must not order engines with
// the lower fence, nor at the same time as the new owner.
func TestLostTakeoverKeepsEngines(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.hosts["10.0.0.1"].setCut(true)
		for before, i := s.owners(), 0; i < 600; i++ {
			s.elapse(50 * time.Millisecond)
			taken := s.owners()
			if taken["e0"] != "" && taken["e0"] != "10.0.0.1" && s.failedOver(before, taken) {
				break
			}
		}
		s.hosts["10.0.0.1"].setCut(false)
		s.elapse(time.Second)
		before := s.owners()
		s.restoreStore(outage, lostHistory)
		s.elapse(5 * time.Second)
		s.wantSameOwners(before)
		s.elapse(30 * time.Second)
		s.wantOwned("in the end")
	})
}

// failedOver reports whether all engines of the first host have gone to others.
func (s *scenario) failedOver(before, now map[string]string) bool {
	for id, ip := range before {
		if ip == "10.0.0.1" && (now[id] == "" || now[id] == ip) {
			return false
		}
	}
	return true
}

// A session begins and claims an engine, and the store loses both in a restore.
func TestLostSessionKeepsItsEngine(t *testing.T) {
	runScenario(t, func(s *scenario) {
		begun := time.Now()
		s.restartHost("10.0.0.4")
		s.elapse(2 * time.Second)
		for i := range 12 {
			s.addEngine(fmt.Sprint("n", i))
		}
		for range 200 {
			if s.elapse(50 * time.Millisecond); len(s.hosts["10.0.0.4"].OwnedEngines()) > 0 {
				break
			}
		}
		before := s.owners()
		s.restoreStore(outage, time.Since(begun)+time.Second)
		s.elapse(4 * time.Second)
		s.wantSameOwners(before)
		s.elapse(maxTakeover)
		s.wantOwned("in the end")
	})
}

// A host does not reach the restored store and goes on until its lease ends. Nobody may take its lost claims before that.
func TestHostCutOffDuringRestoreKeepsLease(t *testing.T) {
	for name, cutAfter := range map[string]time.Duration{"before": 0, "after a renewal": 2600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				h := s.addClaimedEngine("new")
				s.elapse(cutAfter)
				h.setCut(true)
				s.restoreStore(outage, lostHistory)
				s.elapse(maxTakeover + orderGap)
				s.wantOwned("after the lease of the host that was cut off")
				h.setCut(false)
				s.elapse(20 * time.Second)
				s.wantOwned("in the end")
			})
		})
	}
}

// A host restarts while the store is restored with rows that name it as an owner. Others may have taken its engines in the lost writes.
func TestHostStartedDuringRestoreDistrustsRestoredRows(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.hosts["10.0.0.1"].setCut(true)
		s.elapse(tenure.Lease + orderGap + 2*time.Second)
		s.hosts["10.0.0.1"].setCut(false)
		s.db.SetDown(true)
		s.elapse(outage)
		s.restartHost("10.0.0.1")
		s.db.ComeBack(outage + lostHistory)
		s.db.SetDown(false)
		s.elapse(maxTakeover)
		s.wantOwned("in the end")
	})
}

// All hosts restart while the store is restored. None knows what was lost; a lost claim may be replaced only once its lease has ended.
func TestSiteStartedDuringRestoreWaitsForLeases(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.addClaimedEngine("new")
		s.db.SetDown(true)
		s.elapse(outage)
		s.db.ComeBack(outage + lostHistory)
		s.db.SetDown(false)
		for ip := range s.hosts {
			s.restartHost(ip)
		}
		s.elapse(maxTakeover)
		s.wantOwned("after the wait")
	})
}

// The store is restored twice, the second time perhaps before hosts have renewed their claims. Engines must have owners soon after.
func TestStoreRestoredTwiceInARow(t *testing.T) {
	for _, between := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 9 * time.Second, 20 * time.Second} {
		t.Run(between.String(), func(t *testing.T) {
			runScenario(t, func(s *scenario) {
				s.addClaimedEngine("new")
				s.restoreStore(outage, lostHistory)
				s.elapse(between)
				s.restoreStore(outage, lostHistory)
				s.elapse(5 * time.Second)
				s.wantOwned("after the second restore")
				s.elapse(20 * time.Second)
				s.wantOwned("in the end")
			})
		})
	}
}
