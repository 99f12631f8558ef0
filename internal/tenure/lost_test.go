package tenure_test

import (
	"bytes"
	"testing"
	"testing/synctest"
	"time"
)

// The site starts, and the store comes back from a copy of before. The hosts go on with the secret that they know, or those that start later could not
// talk to those that run.
func TestSecretThatTheStoreHasLostIsWrittenAgain(t *testing.T) {
	tell(t, func(s *story) {
		before := s.hosts["10.0.0.1"].Secret()
		s.comeBack(away, 40*time.Second)
		s.pass(3 * time.Second)
		s.begin("10.0.0.4")
		s.pass(3 * time.Second)
		for ip, h := range s.hosts {
			if got := h.Secret(); !bytes.Equal(got, before) {
				s.t.Errorf("secret of %s = %x, want %x as before", ip, got, before)
			}
		}
	})
}

// What a host holds of a team's limit it goes on counting after the store came back. Once it has claimed the part anew it counts from there: counted
// from before, the part would fill up again for all the time in which it was given out.
func TestHeldSinceTheClaimOfTheNewEra(t *testing.T) {
	tell(t, func(s *story) {
		h := s.claimed("part")
		old, since, _ := h.Counts("part")
		s.comeBack(away, lost)
		back := time.Since(s.begun)
		if fence, still, ok := h.Counts("part"); !ok || fence != old || still != since {
			s.t.Errorf("as the store comes back: held %v since %v with fence %d, want since %v with %d", ok, still, fence, since, old)
		}
		s.pass(5 * time.Second)
		if fence, again, ok := h.Counts("part"); !ok || fence <= old || again < back {
			s.t.Errorf("later: held %v since %v with fence %d, want since %v or later with more than %d", ok, again, fence, back, old)
		}
	})
}

// A host that starts does not reach the store until that comes back without a claim of another host, which is cut off then. It counts the other's lease
// from its first reading; counted from its start, the lease would be over while the other one goes on.
func TestHostThatDoesNotReachTheStoreCountsFromItsFirstReading(t *testing.T) {
	tell(t, func(s *story) {
		h := s.claimed("new")
		for ip := range s.hosts {
			if ip != h.IP {
				s.end(ip)
			}
		}
		s.begin("10.0.0.4")
		s.hosts["10.0.0.4"].setCut(true)
		s.pass(9 * time.Second)
		h.setCut(true)
		s.comeBack(away, lost+10*time.Second)
		s.hosts["10.0.0.4"].setCut(false)
		s.pass(takeover + turn)
		s.wantHeld("after the wait")
	})
}

// A site starts for the first time against a store that has come back from copies before. There is nothing that could have been lost.
func TestSiteThatStartsInALaterEraDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, engines(6)...)
		s.db.ComeBack(0)
		a, b, c := s.start("10.0.0.1"), s.start("10.0.0.2"), s.start("10.0.0.3")
		time.Sleep(4 * time.Second)
		for id := range s.engines {
			if s.holder(id, a, b, c) == "" {
				t.Errorf("%s has no host after 4 s", id)
			}
		}
	})
}

// All hosts start again long after the store came back. Nothing that was lost can matter any more; a new engine has a host at once.
func TestSiteThatStartsLongAfterTheComebackDoesNotWait(t *testing.T) {
	tell(t, func(s *story) {
		s.comeBack(away, lost)
		s.pass(30 * time.Second)
		for ip := range s.hosts {
			s.begin(ip)
		}
		s.register("new")
		s.pass(5 * time.Second)
		s.wantHeld("after the restart")
	})
}

// A host that counts a part of teams' limits loses the store for good, and goes on counting beyond its lease. It must have ceased by the time another
// host counts the part, or the team would get it twice.
func TestPartIsCountedByOneHostAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "part")
		a, b := s.start("10.0.0.1"), s.start("10.0.0.2")
		time.Sleep(6 * time.Second)
		if s.holder("part", a) == "" {
			a, b = b, a
		}
		a.setCut(true)
		cut, beyond, followed := time.Now(), false, time.Duration(0)
		for range 500 {
			time.Sleep(50 * time.Millisecond)
			_, _, mine := a.Counts("part")
			_, _, its := b.Counts("part")
			if mine && its {
				t.Fatalf("both hosts count the part %v after the cut", time.Since(cut))
			}
			beyond = beyond || mine && a.Left() <= 0
			if its && followed == 0 {
				followed = time.Since(cut)
			}
		}
		if !beyond || followed == 0 {
			t.Errorf("counted beyond the lease: %v, followed after %v, want both", beyond, followed)
		}
	})
}
