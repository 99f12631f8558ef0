package tenure_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// learnTime is how long hosts may take to learn of a session.
const learnTime = 5 * time.Second

// wantCounted checks whether a host says that all others count it, and since when: not before the given time, by the site's clock.
func (s *site) wantCounted(when string, h *host, counted bool, earliest time.Duration) {
	s.t.Helper()
	since, ok := h.CountedSince()
	if ok != counted {
		s.t.Errorf("%s: counted by all others = %v, want %v", when, ok, counted)
	}
	if counted && since < earliest {
		s.t.Errorf("%s: counted since %v, want %v at the earliest", when, since, earliest)
	}
}

// A host is cut off from the store until the others have ended its session. They divide among themselves what it had a part of, so that all of them
// together would use more than there is if it went on, or took its part again as soon as it is back.
func TestHostThatOthersCeasedToCountKnowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a, b := s.startHost("10.0.0.1"), s.startHost("10.0.0.2")
		time.Sleep(20 * time.Second)
		s.wantCounted("in calm", a, true, 0)
		if got, want := b.HostCount(), 2; got != want {
			t.Fatalf("hosts in calm = %d, want %d", got, want)
		}
		a.setCut(true)
		for b.HostCount() == 2 {
			time.Sleep(100 * time.Millisecond)
		}
		s.wantCounted("when others have ended its session", a, false, 0)
		time.Sleep(10 * time.Second)
		a.setCut(false)
		back := time.Since(s.begun)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			if since, ok := a.CountedSince(); ok && since < back+learnTime {
				t.Fatalf("counted since %v, want %v at the earliest", since, back+learnTime)
			}
		}
		s.wantCounted("back for 20 s", a, true, back+learnTime)
	})
}

// A host loses the store for a moment, and a process starts again. The others count the host all the while: without its part it would give up requests that it could save.
func TestHostThatOthersCountKeepsItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a := s.startHost("10.0.0.1")
		s.startHost("10.0.0.2")
		time.Sleep(20 * time.Second)
		before, _ := a.CountedSince()
		a.setCut(true)
		time.Sleep(8 * time.Second)
		a.setCut(false)
		time.Sleep(3 * time.Second)
		if since, ok := a.CountedSince(); !ok || since != before {
			t.Errorf("after a moment without the store: counted since %v, %v, want %v as before", since, ok, before)
		}
		a.cancel()
		again := time.Since(s.begun)
		a = s.startHost("10.0.0.1")
		time.Sleep(3 * time.Second)
		if since, ok := a.CountedSince(); !ok || since > again+time.Second {
			t.Errorf("after a restart: counted since %v, %v, want since its start at %v", since, ok, again)
		}
	})
}

// A host that owns no engine does not renew its session, and stands still until the others have ended it for its silence.
func TestPassiveHostThatOthersCeasedToCountKnowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		var a *host
		hosts := make([]*host, 10)
		for i := range hosts {
			hosts[i] = s.startHost(fmt.Sprintf("10.0.0.%d", i+1))
		}
		time.Sleep(20 * time.Second)
		for _, h := range hosts {
			if h.LeaseLeft() < 0 {
				a = h
			}
		}
		if a == nil {
			t.Fatal("all hosts renew their sessions, want one that owns nothing")
		}
		s.wantCounted("in calm", a, true, 0)
		s.hostsSilent.Store(true)
		time.Sleep(61 * time.Second)
		s.wantCounted("after a minute without others", a, false, 0)
		s.hostsSilent.Store(false)
		heard := time.Since(s.begun)
		time.Sleep(20 * time.Second)
		s.wantCounted("hearing others again", a, true, heard)
	})
}
