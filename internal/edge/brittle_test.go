//go:build !race

package edge_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/doubt"
	"damaskreach/internal/edge"
	"damaskreach/internal/notice"
	"damaskreach/internal/rows"
	"damaskreach/internal/setup"
	"damaskreach/internal/target"
)

const (
	headBrittle = "Fake-Brittle" // rejections a second that the upstream tolerates
	headFull    = "Fake-Full"    // the upstream was full
	// A site has brittleHosts hosts and brittleUpstreams upstreams. Each upstream runs brittleSlots requests at once for brittleServiceTime
	// and queues brittleQueue more, none once it is brittle. It crashes for brittleDownTime after more than brittleMaxRejections in a
	// second.
	brittleHosts, brittleUpstreams = 18, 4
	brittleSlots, brittleQueue     = 6, 4
	brittleServiceTime             = 120 * time.Millisecond
	brittleMaxRejections           = 5
	brittleDownTime                = 4 * time.Second
	// brittleNoticeTime is how long hosts may take to respect that an upstream is brittle.
	brittleNoticeTime = 3 * time.Second
	// maxCrashes is how often brittle upstreams may crash all the same: 2 and a tenth of their number.
	maxCrashes = 2
	// minBrittleServed is the part of the upstreams' capacity that must be served under overload.
	minBrittleServed = 0.85
)

// brittleUpstream is an upstream that may crash.
type brittleUpstream struct {
	running    int
	rejectedAt []time.Time
	downUntil  time.Time
	crashes    []time.Time
	servedAt   []time.Time
}

// brittleGroup is the upstreams of a fleet.
type brittleGroup struct {
	mu           sync.Mutex
	brittleSince time.Time // zero while they are not brittle
	byID         map[string]*brittleUpstream
}

// admit accepts a request; ok is false if it is rejected, and down is true if the upstream has crashed.
func (g *brittleGroup) admit(id string) (one *brittleUpstream, ok, down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	one = g.byID[id]
	if one == nil {
		one = &brittleUpstream{}
		g.byID[id] = one
	}
	now, queue := time.Now(), brittleQueue
	if now.Before(one.downUntil) {
		return one, false, true
	}
	if g.isBrittle() && now.Sub(g.brittleSince) >= brittleNoticeTime {
		queue = 0
	}
	if one.running < brittleSlots+queue {
		one.running++
		return one, true, false
	}
	one.rejectedAt = append(one.rejectedAt, now)
	recent := 0
	for _, at := range one.rejectedAt {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	if g.isBrittle() && now.Sub(g.brittleSince) >= brittleNoticeTime && recent > brittleMaxRejections {
		one.downUntil, one.rejectedAt = now.Add(brittleDownTime), nil
		one.crashes = append(one.crashes, now)
	}
	return one, false, false
}

func (g *brittleGroup) isBrittle() bool { return !g.brittleSince.IsZero() }

func (g *brittleGroup) serve(w http.ResponseWriter, r *http.Request) {
	one, ok, down := g.admit(r.Header.Get(headFor))
	w.Header().Set(headID, r.Header.Get(headID))
	g.mu.Lock()
	if g.isBrittle() {
		w.Header().Set(headBrittle, strconv.Itoa(brittleMaxRejections))
	}
	g.mu.Unlock()
	if !ok || down {
		w.Header().Set(headFull, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	<-time.After(brittleServiceTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	one.running--
	one.servedAt = append(one.servedAt, time.Now())
}

// countSince returns how often upstreams crashed and how many requests they served since a time.
func (g *brittleGroup) countSince(from time.Time) (crashes, served int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, one := range g.byID {
		for _, at := range one.crashes {
			if at.After(from) {
				crashes++
			}
		}
		for _, at := range one.servedAt {
			if at.After(from) {
				served++
			}
		}
	}
	return crashes, served
}

// Upstreams announce that they are brittle, and callers ask for more than they can run. If hosts sent it all, the upstreams would reject so
// many requests that they crash one after the other.
func TestBrittleUpstreamsDoNotCrashUnderLoad(t *testing.T) {
	for name, share := range map[string]float64{"half of their capacity": 0.5, "twice their capacity": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &brittleGroup{byID: map[string]*brittleUpstream{}}
				p := newTeamFleetOf(t, brittleHosts, 3, brittleUpstreams, unlimitedTeams, func(e *edge.Edge, _ *setup.Setup) {
					e.DecodeTarget = func(row rows.Row) (target.Target, error) {
						id := strings.TrimPrefix(row.Key, "servers/")
						n, err := strconv.Atoi(strings.TrimPrefix(id, "u"))
						return target.Target{ID: id, Group: "g", Addr: separateAddr(n), Slots: brittleSlots}, err
					}
					e.NotRun = func(_ http.Header, _ int, h http.Header) (bool, doubt.Doubt) {
						return h.Get(headFull) != "", doubt.None
					}
					e.DecodeNotice = func(_ int, h http.Header) (n notice.Notice, err error) {
						if text := h.Get(headBrittle); text != "" {
							n.Brittle, err = strconv.Atoi(text)
						}
						return n, err
					}
				})
				for n := range brittleUpstreams {
					p.serveAt(t, separateAddr(n), g.serve)
				}
				time.Sleep(14 * time.Second)
				run := brittleUpstreams * brittleSlots / brittleServiceTime.Seconds()
				ctx, cancel := context.WithCancel(t.Context())
				t.Cleanup(cancel)
				p.generateLoad(ctx, 9, "red", run*0.3, func(*rand.Rand) int { return shortPrompt })
				time.Sleep(3 * time.Second)
				g.mu.Lock()
				g.brittleSince = time.Now()
				g.mu.Unlock()
				time.Sleep(brittleNoticeTime)
				start := time.Now()
				p.generateLoad(ctx, 10, "red", run*(share-0.3), func(*rand.Rand) int { return shortPrompt })
				time.Sleep(8 * time.Second)
				crashes, served := g.countSince(start)
				cancel()
				time.Sleep(2 * time.Second)
				t.Logf("%d crashes, %d served in 8 s", crashes, served)
				if crashes > maxCrashes {
					t.Errorf("brittle upstreams crashed %d times, want %d at most", crashes, maxCrashes)
				}
				if want := int(minBrittleServed * min(1, share) * run * 8); served < want {
					t.Errorf("%d requests were served in 8 s, want at least %d of the upstreams' capacity", served, want)
				}
			})
		})
	}
}
