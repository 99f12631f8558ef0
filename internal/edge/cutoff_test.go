//go:build !race

package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"damaskreach/internal/change"
	"damaskreach/internal/edge"
	"damaskreach/internal/effect"
	"damaskreach/internal/rows"
	"damaskreach/internal/setup"
	"damaskreach/internal/state"
	"damaskreach/internal/target"
)

const (
	// cutHosts and cutUpstreams are the numbers of hosts, two in each data centre, and of upstreams.
	cutHosts, cutUpstreams = 6, 8
	// detourTime is how long after a cut its hosts must serve as the others do, cutDuration how long the cut lasts.
	detourTime, cutDuration = 3 * time.Second, 12 * time.Second
	// minShareOfOthers is the minimum served at hosts that were cut off, as a part of what the others serve; minShareOfBefore is that of the
	// others, as a part of what they served before. The rest is for the luck of some hundred requests.
	minShareOfOthers, minShareOfBefore = 0.97, 0.97
	// minInTimeShare is the same for what is served in time, which depends more on luck: on which adapters are loaded.
	minInTimeShare = 0.9
)

// cutMode is how hosts are cut off from the upstreams.
type cutMode string

const (
	silent  cutMode = "silent"  // connections hang, and so do new ones
	broken  cutMode = "broken"  // connections are reset, and new ones hang
	refused cutMode = "refused" // connections stay up, and new ones are refused
)

// upstreamCuts cuts hosts off from all upstreams, while callers, other hosts and the store still reach them.
type upstreamCuts struct {
	mu  sync.Mutex
	cut map[string]cutMode // by host
}

// mode returns how a host is cut off; empty if it is not.
func (w *upstreamCuts) of(host string) cutMode {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[host]
}

// adapt makes a host's dials and orders fail while it is cut off.
func (w *upstreamCuts) adapt(e *edge.Edge, s *setup.Setup) {
	ip, dial, give, ask := s.IP, e.Dial, e.SendOrder, e.QueryState
	e.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if w.of(ip) == refused && strings.HasPrefix(addr, "10.9.") {
			return nil, syscall.ECONNREFUSED
		}
		return dial(ctx, addr)
	}
	e.SendOrder = func(ctx context.Context, c change.Change) (effect.Effect, error) {
		if err := w.orderError(ctx, ip); err != nil {
			return effect.Unknown, err
		}
		return give(ctx, c)
	}
	e.QueryState = func(ctx context.Context, c change.Change) (state.State, error) {
		if err := w.orderError(ctx, ip); err != nil {
			return state.State{}, err
		}
		return ask(ctx, c)
	}
}

// orderError fails as an order does that a host sends while cut off.
func (w *upstreamCuts) orderError(ctx context.Context, host string) error {
	switch w.of(host) {
	case "":
		return nil
	case refused:
		return syscall.ECONNREFUSED
	}
	<-ctx.Done()
	return ctx.Err()
}

// setMode cuts hosts off, or heals them if the mode is empty.
func (w *upstreamCuts) setMode(f *fleet, how cutMode, hosts ...int) {
	for _, i := range hosts {
		ip := hostIP(i)
		w.set(ip, how)
		f.setLinks(ip, cutUpstreams, how)
	}
}

// set notes how a host is cut off.
func (w *upstreamCuts) set(host string, how cutMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut == nil {
		w.cut = map[string]cutMode{}
	}
	w.cut[host] = how
}

// setLinks cuts the links of a host to a number of upstreams, or heals them if the mode is empty.
func (f *fleet) setLinks(ip string, upstreams int, how cutMode) {
	for n := range upstreams {
		upstream, _, _ := strings.Cut(separateAddr(n), ":")
		switch how {
		case broken:
			f.net.Break(ip, upstream)
			f.net.Cut(ip, upstream)
		case silent:
			f.net.Cut(ip, upstream)
		case "":
			f.net.Heal(ip, upstream)
		}
	}
}

// runCut cuts hosts off for the duration of a cut, waits a while after it, and returns when it began.
func (w *upstreamCuts) runCut(f *fleet, how cutMode, hosts []int) (start time.Time) {
	start = time.Now()
	w.setMode(f, how, hosts...)
	time.Sleep(cutDuration)
	w.setMode(f, "", hosts...)
	time.Sleep(4 * time.Second)
	return start
}

// servedShares returns which part of the requests sent between two times was served at hosts that were cut off, and at the others.
func servedShares[A any](
	w map[string]bool, list []A, from, to time.Time, of func(a A) (sent time.Time, host string, served bool),
) (cut, others float64) {
	var asked, done [2]float64
	for _, a := range list {
		sent, host, served := of(a)
		if sent.Before(from) || !sent.Before(to) {
			continue
		}
		side := 0
		if w[host] {
			side = 1
		}
		asked[side]++
		if served {
			done[side]++
		}
	}
	return done[1] / max(1, asked[1]), done[0] / max(1, asked[0])
}

// cutHostSets are the sets of hosts that are cut off, by name.
var cutHostSets = map[string][]int{"half of the hosts": {1, 2, 5}, "a data centre": {0, 3}, "all but one": {0, 1, 2, 3, 4}}

// forEachCut runs each cut mode for each set of hosts.
func forEachCut(t *testing.T, test func(t *testing.T, how cutMode, hosts []int, cut map[string]bool)) {
	for name, hosts := range cutHostSets {
		for _, how := range []cutMode{silent, broken, refused} {
			t.Run(fmt.Sprintf("%s, %s", name, how), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cut := map[string]bool{}
					for _, i := range hosts {
						cut[hostIP(i)] = true
					}
					test(t, how, hosts, cut)
				})
			})
		}
	}
}

// Some hosts lose their route to all upstreams, and callers go on sending them requests that may not be retried. Without detours, these
// would be refused.
func TestCallersOfHostsCutOffFromUpstreamsAreServed(t *testing.T) {
	forEachCut(t, func(t *testing.T, how cutMode, hosts []int, cut map[string]bool) {
		w := &upstreamCuts{}
		p := newTeamFleetOf(t, cutHosts, 3, cutUpstreams, unlimitedTeams, func(e *edge.Edge, s *setup.Setup) {
			e.DecodeTarget = func(row rows.Row) (target.Target, error) {
				id := strings.TrimPrefix(row.Key, "servers/")
				n, err := strconv.Atoi(strings.TrimPrefix(id, "u"))
				return target.Target{ID: id, Group: "g", Addr: separateAddr(n), Slots: 6}, err
			}
			e.SendOrder = func(context.Context, change.Change) (effect.Effect, error) { return effect.Rejected, nil }
			w.adapt(e, s)
		})
		for n := range cutUpstreams {
			p.serveAt(t, separateAddr(n), p.serveUpstream)
		}
		p.mu.Lock()
		p.serviceTime = 30 * time.Millisecond
		p.mu.Unlock()
		time.Sleep(14 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		p.generateLoad(ctx, 7, "red", 80, func(*rand.Rand) int { return shortPrompt })
		time.Sleep(4 * time.Second)
		start := w.runCut(p.fleet, how, hosts)
		cancel()
		time.Sleep(2 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		served := func(s callResult) (time.Time, string, bool) { return s.sent, s.host, s.status == http.StatusOK }
		wantServedLikeOthers(t, "served", start, minShareOfOthers, minShareOfBefore, func(from, to time.Time) (float64, float64) {
			return servedShares(cut, p.results, from, to, served)
		})
	})
}

// wantServedLikeOthers checks what was served during and after a cut.
func wantServedLikeOthers(
	t *testing.T, what string, start time.Time, minOthers, minBefore float64, shares func(from, to time.Time) (cut, others float64),
) {
	t.Helper()
	_, before := shares(start.Add(-4*time.Second), start)
	first, firstOthers := shares(start, start.Add(detourTime))
	cut, others := shares(start.Add(detourTime), start.Add(cutDuration))
	after, afterOthers := shares(start.Add(cutDuration), start.Add(cutDuration+4*time.Second))
	t.Logf(what+" before: %.3f, in the first seconds: %.3f and %.3f at the others, then: %.3f and %.3f, after: %.3f and %.3f",
		before, first, firstOthers, cut, others, after, afterOthers)
	if cut < minOthers*others {
		t.Errorf("%.3f were %s at hosts without a route to the upstreams, want as many as the %.3f at the others", cut, what, others)
	}
	if others < minBefore*before {
		t.Errorf("%.3f were %s at the other hosts, want as many as the %.3f before", others, what, before)
	}
	if after < minOthers*afterOthers {
		t.Errorf("%.3f were %s at hosts that have regained their route, want as many as the %.3f at the others", after, what, afterOthers)
	}
}

// Some hosts lose their route to all engines. Engines that they own load nothing while other hosts' requests wait; their own callers get
// nothing.
func TestStreamsOfHostsCutOffFromEnginesAreServed(t *testing.T) {
	forEachCut(t, func(t *testing.T, how cutMode, hosts []int, cut map[string]bool) {
		w := &upstreamCuts{}
		f := &farm{engines: map[string]*fakeEngine{}, separateAddrs: true}
		f.start(t, cutHosts, cutUpstreams, unlimitedTeams, func(e *edge.Edge, s *setup.Setup) {
			f.adaptHost(e, s)
			w.adapt(e, s)
		})
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		f.generateDemand(ctx, 3, "red", 30, 2*scaleAdapters)
		time.Sleep(6 * time.Second)
		start := w.runCut(f.fleet, how, hosts)
		cancel()
		time.Sleep(4 * time.Second)
		t.Logf("during the cut: %v", f.outcomeBetween(start.Add(detourTime), start.Add(cutDuration)))
		f.mu.Lock()
		defer f.mu.Unlock()
		for what, goal := range map[string]time.Duration{"served": time.Hour, "in time": farmLatencyTarget} {
			ok := func(s streamResult) (time.Time, string, bool) {
				return s.sent, s.host, s.complete && s.firstEvent <= goal
			}
			others, before := minShareOfOthers, minShareOfBefore
			if goal == farmLatencyTarget {
				others, before = minInTimeShare, minInTimeShare
			}
			wantServedLikeOthers(t, what, start, others, before, func(from, to time.Time) (float64, float64) {
				return servedShares(cut, f.streams, from, to, ok)
			})
		}
	})
}
