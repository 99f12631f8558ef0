package tenure_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/rows"
)

const (
	// beside is how many rows a host writes along with a renewal at most, and besideEvery how often.
	beside      = 90
	besideEvery = 4 * time.Second
	// claims is about how many engines each of three hosts holds: more than a renewal has room to check.
	claims = 150
)

// tellOfMany runs a story about three hosts that hold hundreds of engines.
func tellOfMany(t *testing.T, what func(s *story)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &story{site: newSite(t, engines(3*claims)...), t: t, hosts: map[string]*host{}, seen: map[string]order{}}
		for i := range 3 {
			ip := fmt.Sprint("10.0.0.", i+1)
			s.hosts[ip] = s.started(ip, func(h *host) { h.Beside = notes() })
		}
		s.pass(20 * time.Second)
		what(s)
	})
}

// notes returns what a host has written along with its renewals: as many rows as it may, now and then.
func notes() func() []rows.Row {
	var list []rows.Row
	for i := range beside {
		list = append(list, rows.Row{Key: fmt.Sprint("note/", i), Rev: rows.Any})
	}
	var last time.Time
	return func() []rows.Row {
		if time.Since(last) < besideEvery {
			return nil
		}
		last = time.Now()
		return list
	}
}

// A write of the era before is carried out over one of more claims than a renewal has room to check, and the host, which reads nothing, goes on with
// it beside its next one.
func TestLeaseOfAClaimLastsNoLongerThanItIsChecked(t *testing.T) {
	for i := range 3 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			tellOfMany(t, func(s *story) {
				h := s.claimed("new")
				s.voidClaim(h, "new")
				h.setBlind(true)
				s.pass(takeover + turn)
				h.setBlind(false)
				s.pass(takeover + turn)
				s.wantHeld("in the end")
			})
		})
	}
}

// A host holds more engines than a renewal has room to check, and some lapse before their turn to be checked comes.
func TestManyClaimsAreCheckedInTime(t *testing.T) {
	tellOfMany(t, func(s *story) {
		before := s.holders()
		for range 30 {
			s.pass(time.Second)
			s.wantHeld("while nothing happens")
		}
		s.wantSame(before)
		s.end("10.0.0.1")
		s.end("10.0.0.2")
		s.pass(takeover + 10*time.Second)
		for range 30 {
			s.pass(time.Second)
			s.wantHeld("at the host that is left")
		}
	})
}
