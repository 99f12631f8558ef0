package tenure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/tenure"
)

const (
	// learnTime is how long hosts may take to learn of a session.
	learnTime = 5 * time.Second
	// partMemory is for how long what was used of a host's part counts.
	partMemory = 10 * time.Second
)

// wantPart checks whether a host says that it may use its part.
func (s *site) wantPart(when string, h *host, want bool) {
	s.t.Helper()
	if _, got := h.Part(); got != want {
		s.t.Errorf("%s: part may be used = %v, want %v", when, got, want)
	}
}

// partAfter returns how long from now it takes until a host may use its part.
func (s *site) partAfter(h *host) time.Duration {
	s.t.Helper()
	begun := time.Now()
	for {
		if _, ok := h.Part(); ok {
			return time.Since(begun)
		}
		if time.Since(begun) > time.Minute {
			s.t.Fatalf("host %s may not use its part for a minute", h.IP)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// wantPartAfter checks how long from now it takes until a host may use its part.
func (s *site) wantPartAfter(when string, h *host, least, most time.Duration) {
	s.t.Helper()
	if got := s.partAfter(h); got < least || got > most {
		s.t.Errorf("%s: part may be used after %v, want %v to %v", when, got, least, most)
	}
}

// A host is cut off from the store until the others have ended its session. They divide among themselves what it had a part of, so that all of them
// together would use more than there is if it went on, or took its part again as soon as it is back.
func TestHostThatOthersCeasedToCountKnowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a, b := s.startHost("10.0.0.1"), s.startHost("10.0.0.2")
		time.Sleep(20 * time.Second)
		s.wantPart("in calm", a, true)
		if got, want := b.HostCount(), 2; got != want {
			t.Fatalf("hosts in calm = %d, want %d", got, want)
		}
		a.setCut(true)
		for b.HostCount() == 2 {
			time.Sleep(100 * time.Millisecond)
		}
		s.wantPart("when others have ended its session", a, false)
		time.Sleep(10 * time.Second)
		a.setCut(false)
		s.wantPartAfter("back", a, learnTime+partMemory, 20*time.Second)
	})
}

// A host loses the store for a moment. The others count it all the while: without its part it would give up requests that it could save.
func TestHostThatOthersCountKeepsItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, "e1", "e2", "e3")
		a := s.startHost("10.0.0.1")
		s.startHost("10.0.0.2")
		time.Sleep(20 * time.Second)
		for a.LeaseLeft() < tenure.Lease-100*time.Millisecond {
			time.Sleep(50 * time.Millisecond)
		}
		a.setCut(true)
		for a.LeaseLeft() > time.Second {
			s.wantPart("without the store, within the lease", a, true)
			time.Sleep(100 * time.Millisecond)
		}
		a.setCut(false)
		time.Sleep(3 * time.Second)
		s.wantPart("after a moment without the store", a, true)
	})
}

// A process starts where the last one was killed, has stopped as planned, or was killed before it had the part. What the last one used is not to be used again, and
// what it left is not to lie idle: without a part, the host gives up streams that it could save.
func TestProcessThatStartsKnowsWhatTheLastOneLeft(t *testing.T) {
	cases := []struct {
		name        string
		after       time.Duration // from its start until the last process ends
		end         func(h *host)
		taken       string
		least, most time.Duration // until the next one may use the part
	}{
		{"killed", 20 * time.Second, func(*host) {}, "", partMemory, partMemory + 4*time.Second},
		{"stopped", 20 * time.Second, func(h *host) { h.ReturnPart("some"); time.Sleep(2 * time.Second) }, "some", 0, time.Second},
		{"stopped while the store is away", 20 * time.Second, func(h *host) { h.setCut(true); h.ReturnPart("some"); time.Sleep(2 * time.Second) }, "", partMemory, partMemory + 4*time.Second},
		{"killed before it had the part", 2 * time.Second, func(*host) {}, "", learnTime + partMemory, learnTime + partMemory + 4*time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, "e1", "e2", "e3")
				s.startHost("10.0.0.2")
				time.Sleep(20 * time.Second)
				a := s.startHost("10.0.0.1")
				time.Sleep(c.after)
				c.end(a)
				a.cancel()
				a = s.startHost("10.0.0.1")
				time.Sleep(10 * time.Millisecond)
				s.wantPartAfter("started", a, c.least-10*time.Millisecond, c.most)
				if got, _ := a.Part(); got != c.taken {
					t.Errorf("used by the last process = %q, want %q", got, c.taken)
				}
				time.Sleep(partMemory)
				if got, _ := a.Part(); got != "" {
					t.Errorf("used by the last process after %v = %q, want nothing", partMemory, got)
				}
			})
		})
	}
}

// All hosts start for the first time, within a moment or one after the other. One that takes its part before the others know it adds to theirs; hosts that wait though
// nobody can have used anything give up streams in their first seconds.
func TestHostsThatStartTogetherHaveTheirPartsSoon(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 49))
			s := newSite(t, "e1", "e2", "e3")
			all := []*host{}
			for i := range 2 + r.IntN(5) {
				all = append(all, s.startHost(fmt.Sprintf("10.0.0.%d", i+1)))
				time.Sleep(time.Duration(r.Int64N(int64(300 * time.Millisecond))))
			}
			began := time.Now()
			for have := 0; have < len(all); time.Sleep(20 * time.Millisecond) {
				have = 0
				for _, h := range all {
					if _, ok := h.Part(); ok {
						have++
						if got := h.HostCount(); got != len(all) {
							t.Fatalf("seed %d: a host has its part of %d, want of %d", seed, got, len(all))
						}
					}
				}
				if time.Since(began) > 8*time.Second {
					t.Fatalf("seed %d: %d of %d hosts have their parts after 8 s, want all", seed, have, len(all))
				}
			}
			late := s.startHost("10.0.0.99")
			s.wantPartAfter("added later", late, learnTime+partMemory, 20*time.Second)
			for range 2 {
				for i, h := range all {
					h.cancel()
					all[i] = s.startHost(h.IP)
				}
				time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
			}
			s.wantPartAfter("all killed twice", all[0], partMemory-4*time.Second, partMemory+4*time.Second)
		})
	}
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
		s.wantPart("in calm", a, false)
		a.WantPart()
		s.wantPartAfter("once it was wanted", a, 0, 2*time.Second)
		s.hostsSilent.Store(true)
		time.Sleep(61 * time.Second)
		s.wantPart("after a minute without others", a, false)
		s.hostsSilent.Store(false)
		s.wantPartAfter("hearing others again", a, learnTime+partMemory, 20*time.Second)
	})
}
