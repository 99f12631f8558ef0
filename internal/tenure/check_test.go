package tenure_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rows"
)

const (
	// extraRows is how many rows a host writes along with a renewal at most, and extraInterval how often.
	extraRows     = 90
	extraInterval = 4 * time.Second
	// claimsPerHost is about how many engines each of three hosts holds: more than a renewal has room to check.
	claimsPerHost = 150
)

// runManyClaims runs a scenario with three hosts that hold hundreds of engines.
func runManyClaims(t *testing.T, what func(s *scenario)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &scenario{site: newSite(t, engineIDs(3*claimsPerHost)...), t: t, hosts: map[string]*host{}, lastOrders: map[string]order{}}
		for i := range 3 {
			ip := fmt.Sprint("10.0.0.", i+1)
			s.hosts[ip] = s.startHostWith(ip, func(h *host) { h.ExtraRows = periodicRows() })
		}
		s.elapse(20 * time.Second)
		what(s)
	})
}

// periodicRows returns what a host writes along with its renewals: as many rows as it may, once per extraInterval.
func periodicRows() func() []rows.Row {
	var list []rows.Row
	for i := range extraRows {
		list = append(list, rows.Row{Key: fmt.Sprint("note/", i), Rev: rows.AnyRev})
	}
	var last time.Time
	return func() []rows.Row {
		if time.Since(last) < extraInterval {
			return nil
		}
		last = time.Now()
		return list
	}
}

// A late write of an earlier era replaces one of more claims than a renewal can check, while the host cannot read the store: it must not
// keep the engine by renewing only its session.
func TestClaimLeaseEndsWithoutChecks(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			runManyClaims(t, func(s *scenario) {
				h := s.addClaimedEngine("new")
				s.overwriteClaim(h, "new")
				h.setBlind(true)
				s.elapse(maxTakeover + orderGap)
				h.setBlind(false)
				s.elapse(maxTakeover + orderGap)
				s.wantOwned("in the end")
			})
		})
	}
}

// A host holds more engines than a renewal can check: no claim may lapse before its turn to be checked.
func TestManyClaimsAreCheckedInTime(t *testing.T) {
	runManyClaims(t, func(s *scenario) {
		before := s.owners()
		for range 30 {
			s.elapse(time.Second)
			s.wantOwned("while nothing happens")
		}
		s.wantSameOwners(before)
		s.stopHost("10.0.0.1")
		s.stopHost("10.0.0.2")
		s.elapse(maxTakeover + 10*time.Second)
		for range 30 {
			s.elapse(time.Second)
			s.wantOwned("at the host that is left")
		}
	})
}
