package tenure_test

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"
)

// The store is restored to a state without the secret. Running hosts must write the one that they know, or hosts that start later could not
// talk to them.
func TestLostSecretIsRewritten(t *testing.T) {
	runScenario(t, func(s *scenario) {
		before := s.hosts["10.0.0.1"].Secret()
		s.restoreStore(outage, 40*time.Second)
		s.elapse(3 * time.Second)
		s.restartHost("10.0.0.4")
		s.elapse(3 * time.Second)
		for ip, h := range s.hosts {
			if got := h.Secret(); !bytes.Equal(got, before) {
				s.t.Errorf("secret of %s = %x, want %x as before", ip, got, before)
			}
		}
	})
}

// A host keeps counting its shard of a limit after a restore. Once it has claimed the shard anew it counts from there; from the earlier
// claim, the shard would be granted again for time in which it was already spent.
func TestHeldSinceClaimInNewEra(t *testing.T) {
	runScenario(t, func(s *scenario) {
		h := s.addClaimedEngine("part")
		old, since, _ := h.LimitFence("part")
		s.restoreStore(outage, lostHistory)
		back := time.Since(s.begun)
		if fence, still, ok := h.LimitFence("part"); !ok || fence != old || still != since {
			s.t.Errorf("after the restore: held %v since %v with fence %d, want since %v with %d", ok, still, fence, since, old)
		}
		s.elapse(5 * time.Second)
		if fence, again, ok := h.LimitFence("part"); !ok || fence <= old || again < back {
			s.t.Errorf("later: held %v since %v with fence %d, want since %v or later with more than %d", ok, again, fence, back, old)
		}
	})
}

// A host first reaches the store after a restore that lost the claim of another host, which is cut off then. It must count that lease
// from its first read: counted from its own start, the lease would end while the other one goes on.
func TestLeaseIsCountedFromFirstRead(t *testing.T) {
	runScenario(t, func(s *scenario) {
		h := s.addClaimedEngine("new")
		for ip := range s.hosts {
			if ip != h.IP {
				s.stopHost(ip)
			}
		}
		s.restartHost("10.0.0.4")
		s.hosts["10.0.0.4"].setCut(true)
		s.elapse(9 * time.Second)
		h.setCut(true)
		s.restoreStore(outage, lostHistory+10*time.Second)
		s.hosts["10.0.0.4"].setCut(false)
		s.elapse(maxTakeover + orderGap)
		s.wantOwned("after the wait")
	})
}

// A new site starts against a store that was restored earlier. There is nothing that could have been lost.
func TestNewSiteInLaterEraDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, engineIDs(6)...)
		s.db.ComeBack(0)
		a, b, c := s.startHost("10.0.0.1"), s.startHost("10.0.0.2"), s.startHost("10.0.0.3")
		time.Sleep(4 * time.Second)
		for id := range s.engines {
			if s.owner(id, a, b, c) == "" {
				t.Errorf("%s has no owner after 4 s", id)
			}
		}
	})
}

// All hosts restart long after a restore: no lost claim can be in force any more, and a new engine gets an owner at once.
func TestSiteStartedLongAfterRestoreDoesNotWait(t *testing.T) {
	runScenario(t, func(s *scenario) {
		s.restoreStore(outage, lostHistory)
		s.elapse(30 * time.Second)
		for ip := range s.hosts {
			s.restartHost(ip)
		}
		s.addEngine("new")
		s.elapse(5 * time.Second)
		s.wantOwned("after the restart")
	})
}

// A host that counts a shard of a team's limit loses the store and counts beyond its lease. It must stop before another host counts the
// shard, or the team gets it twice.
func TestLimitShardIsCountedByOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "part")
		a, b := s.startHost("10.0.0.1"), s.startHost("10.0.0.2")
		time.Sleep(6 * time.Second)
		if s.owner("part", a) == "" {
			a, b = b, a
		}
		a.setCut(true)
		cut, beyond, followed := time.Now(), false, time.Duration(0)
		for range 500 {
			time.Sleep(50 * time.Millisecond)
			_, _, mine := a.LimitFence("part")
			_, _, its := b.LimitFence("part")
			if mine && its {
				t.Fatalf("both hosts count the shard %v after the cut", time.Since(cut))
			}
			beyond = beyond || mine && a.LeaseLeft() <= 0
			if its && followed == 0 {
				followed = time.Since(cut)
			}
		}
		if !beyond || followed == 0 {
			t.Errorf("counted beyond the lease: %v, followed after %v, want both", beyond, followed)
		}
	})
}
