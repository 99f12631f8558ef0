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
	// cutHosts and cutUpstreams are a site's hosts, two in each data centre, and its upstreams.
	cutHosts, cutUpstreams = 6, 8
	// cutKnown is from when on the hosts that were cut off serve as the others do, and cutFor how long the cut lasts.
	cutKnown, cutFor = 3 * time.Second, 12 * time.Second
	// likeOthers is the part of what the others serve that is served at least at hosts that were cut off, and likeBefore the part of what they served before
	// that the others serve on: all of it but for the luck of some hundred requests.
	likeOthers, likeBefore = 0.97, 0.97
	// inTimeToo is the same for what is served in time, which hangs more on luck: on which adapters are there.
	inTimeToo = 0.9
)

// severed is in which way hosts have lost their way to the upstreams.
type severed string

const (
	silent  severed = "silent"  // connections hang, and so do new ones
	broken  severed = "broken"  // connections are reset, and new ones hang
	refused severed = "refused" // connections live on, and new ones are refused
)

// ways cuts hosts off from all upstreams; callers, other hosts and the store reach them as before.
type ways struct {
	mu  sync.Mutex
	cut map[string]severed // by host
}

// of returns in which way a host is cut off; an empty text where it is not.
func (w *ways) of(host string) severed {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[host]
}

// adapt has a host's dials and orders fail while it is cut off.
func (w *ways) adapt(e *edge.Edge, s *setup.Setup) {
	ip, dial, give, ask := s.IP, e.Dial, e.Give, e.Ask
	e.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		if w.of(ip) == refused && strings.HasPrefix(addr, "10.9.") {
			return nil, syscall.ECONNREFUSED
		}
		return dial(ctx, addr)
	}
	e.Give = func(ctx context.Context, c change.Change) (effect.Effect, error) {
		if err := w.order(ctx, ip); err != nil {
			return effect.Unknown, err
		}
		return give(ctx, c)
	}
	e.Ask = func(ctx context.Context, c change.Change) (state.State, error) {
		if err := w.order(ctx, ip); err != nil {
			return state.State{}, err
		}
		return ask(ctx, c)
	}
}

// order fails as an order does that a host sends.
func (w *ways) order(ctx context.Context, host string) error {
	switch w.of(host) {
	case "":
		return nil
	case refused:
		return syscall.ECONNREFUSED
	}
	<-ctx.Done()
	return ctx.Err()
}

// sever cuts hosts off in a way, or heals them with an empty one.
func (w *ways) sever(f *fleet, how severed, hosts ...int) {
	for _, i := range hosts {
		ip := hostIP(i)
		w.mu.Lock()
		if w.cut == nil {
			w.cut = map[string]severed{}
		}
		w.cut[ip] = how
		w.mu.Unlock()
		for n := range cutUpstreams {
			upstream, _, _ := strings.Cut(apartAddr(n), ":")
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
}

// pass cuts hosts off in a way for as long as a cut lasts, and a while after returns when that began.
func (w *ways) pass(f *fleet, how severed, hosts []int) (begun time.Time) {
	begun = time.Now()
	w.sever(f, how, hosts...)
	time.Sleep(cutFor)
	w.sever(f, "", hosts...)
	time.Sleep(4 * time.Second)
	return begun
}

// shares returns which part of what was asked between two times was served at hosts that were cut off, and at the others.
func shares[A any](w map[string]bool, list []A, from, to time.Time, of func(a A) (sent time.Time, host string, served bool)) (cut, others float64) {
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

// cuts are the hosts that lose their way: some, all of a data centre, and all but one.
var cuts = map[string][]int{"half of the hosts": {1, 2, 5}, "a data centre": {0, 3}, "all but one": {0, 1, 2, 3, 4}}

// eachCut plays each way in which hosts are cut off, for each choice of hosts.
func eachCut(t *testing.T, play func(t *testing.T, how severed, hosts []int, cut map[string]bool)) {
	for name, hosts := range cuts {
		for _, how := range []severed{silent, broken, refused} {
			t.Run(fmt.Sprintf("%s, %s", name, how), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cut := map[string]bool{}
					for _, i := range hosts {
						cut[hostIP(i)] = true
					}
					play(t, how, hosts, cut)
				})
			})
		}
	}
}

// Some hosts lose their way to all upstreams, and callers go on asking them for bookings that may not be sent twice: each would be sent to one upstream after the
// other that cannot be reached, and refused.
func TestCallersOfHostsWithoutAWayToUpstreamsAreServed(t *testing.T) {
	eachCut(t, func(t *testing.T, how severed, hosts []int, cut map[string]bool) {
		w := &ways{}
		p := newPayersOf(t, cutHosts, 3, cutUpstreams, unlimited, func(e *edge.Edge, s *setup.Setup) {
			e.Target = func(row rows.Row) (target.Target, error) {
				id := strings.TrimPrefix(row.Key, "servers/")
				n, err := strconv.Atoi(strings.TrimPrefix(id, "u"))
				return target.Target{ID: id, Group: "g", Addr: apartAddr(n), Slots: 6}, err
			}
			e.Give = func(context.Context, change.Change) (effect.Effect, error) { return effect.Rejected, nil }
			w.adapt(e, s)
		})
		for n := range cutUpstreams {
			p.serveAt(t, apartAddr(n), p.run)
		}
		p.mu.Lock()
		p.takes = 30 * time.Millisecond
		p.mu.Unlock()
		time.Sleep(14 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		p.load(ctx, 7, "red", 80, func(*rand.Rand) int { return shortPrompt })
		time.Sleep(4 * time.Second)
		begun := w.pass(p.fleet, how, hosts)
		cancel()
		time.Sleep(2 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		served := func(s said) (time.Time, string, bool) { return s.sent, s.host, s.status == http.StatusOK }
		wantLikeOthers(t, "served", begun, likeOthers, likeBefore, func(from, to time.Time) (float64, float64) { return shares(cut, p.said, from, to, served) })
	})
}

// wantLikeOthers checks what was served of a cut that began at a time.
func wantLikeOthers(t *testing.T, what string, begun time.Time, likeOthers, likeBefore float64, shares func(from, to time.Time) (cut, others float64)) {
	t.Helper()
	_, before := shares(begun.Add(-4*time.Second), begun)
	first, firstOthers := shares(begun, begun.Add(cutKnown))
	cut, others := shares(begun.Add(cutKnown), begun.Add(cutFor))
	after, afterOthers := shares(begun.Add(cutFor), begun.Add(cutFor+4*time.Second))
	t.Logf(what+" before: %.3f, in the first seconds: %.3f and %.3f at the others, then: %.3f and %.3f, after: %.3f and %.3f", before, first, firstOthers, cut, others, after, afterOthers)
	if cut < likeOthers*others {
		t.Errorf("%.3f were %s at hosts without a way to the upstreams, want as many as the %.3f at the others", cut, what, others)
	}
	if others < likeBefore*before {
		t.Errorf("%.3f were %s at the other hosts, want as many as the %.3f before", others, what, before)
	}
	if after < likeOthers*afterOthers {
		t.Errorf("%.3f were %s at hosts that have found their way again, want as many as the %.3f at the others", after, what, afterOthers)
	}
}

// Some hosts lose their way to all engines. Engines that they give orders to load nothing, and others' requests wait there in vain; their own callers get nothing.
func TestStreamsOfHostsWithoutAWayToEnginesAreServed(t *testing.T) {
	eachCut(t, func(t *testing.T, how severed, hosts []int, cut map[string]bool) {
		w := &ways{}
		f := &farm{engines: map[string]*machine{}, apart: true}
		f.start(t, cutHosts, cutUpstreams, unlimited, func(e *edge.Edge, s *setup.Setup) {
			f.adaptHost(e, s)
			w.adapt(e, s)
		})
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		f.demand(ctx, 3, "red", 30, 2*scaleAdapters)
		time.Sleep(6 * time.Second)
		begun := w.pass(f.fleet, how, hosts)
		cancel()
		time.Sleep(4 * time.Second)
		t.Logf("during the cut: %v", f.span(begun.Add(cutKnown), begun.Add(cutFor)))
		f.mu.Lock()
		defer f.mu.Unlock()
		for what, goal := range map[string]time.Duration{"served": time.Hour, "in time": farmGoal} {
			ok := func(s streamed) (time.Time, string, bool) { return s.sent, s.host, s.whole && s.first <= goal }
			others, before := likeOthers, likeBefore
			if goal == farmGoal {
				others, before = inTimeToo, inTimeToo
			}
			wantLikeOthers(t, what, begun, others, before, func(from, to time.Time) (float64, float64) { return shares(cut, f.streamed, from, to, ok) })
		}
	})
}
