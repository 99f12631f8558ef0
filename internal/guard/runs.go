package guard

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/chance"
	"damaskreach/internal/ident"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
)

// tellChance is the chance, of its presence where upstreams ended, below which a request that is sent all the same gets a line.
const tellChance = 0.01

// Begin records that a request is sent to an upstream at a time, and returns the number of its run for the other calls.
func (g *Guard) Begin(i ident.Ident, t target.Target, sent time.Time) (run uint64) {
	g.logEvidence(i, t, sent)
	return g.trail.Begin(i, t, sent)
}

// logEvidence writes what speaks against a request that is sent all the same: at how many of the ends of upstreams in its group it was present, it and all
// that differ from it in address and query alone, and the chance of that.
func (g *Guard) logEvidence(i ident.Ident, t target.Target, now time.Time) {
	with, wide, all, odds, wideOdds := g.requests.Evidence(i, now)
	if min(odds, wideOdds) > tellChance {
		return
	}
	g.Log.Info("request sent though upstreams ended where it was", append(known(i), zap.String("target", t.ID), zap.Int("ends", with), zap.Int("wide_ends", wide),
		zap.Int("all_ends", all), zap.Float64("chance", odds), zap.Float64("wide_chance", wideOdds))...)
}

// Reject records that the upstream has rejected the request.
func (g *Guard) Reject(run uint64) { g.trail.Reject(run, time.Now()) }

// Miss records that the request did not reach the upstream, which may have ended under one that was given up.
func (g *Guard) Miss(run uint64) {
	now := time.Now()
	if t, look := g.trail.Miss(run, now); look {
		g.look(t, now, g.Crashed)
	}
}

// End records that a run has ended, if nothing else tells how.
func (g *Guard) End(run uint64) { g.trail.End(run, time.Now()) }

// RecordAnswer records that a request was answered with a status and completely. It has run well if its upstream goes on behind that, unless the answer is the upstream's
// own error: that says nothing for a request, since the upstream may not have begun to run it.
func (g *Guard) RecordAnswer(run uint64, status int, now time.Time) {
	g.trail.Answer(run, status >= http.StatusInternalServerError, now)
}

// settle takes back what counts against requests that are known by now to have run well.
func (g *Guard) settle(now time.Time) {
	for _, i := range g.trail.Settle(now) {
		g.RecordSound(i, now)
		n, wide := g.requests.RecordSound(i, now)
		if n == 0 && wide == 0 {
			continue
		}
		g.Stats.Add(stats.Breaks, int64(n), "outcome", "cleared")
		g.Log.Info("breaks of a request dropped after an answer", append(known(i), zap.Int("upstreams", n), zap.Int("wide_upstreams", wide))...)
	}
}

// Sample records which requests are at which upstreams at the moment. It is to be called again and again.
func (g *Guard) Sample() {
	now := time.Now()
	g.settle(now)
	take := func(kind int) func(string, time.Time, []ident.Ident, []ident.Ident) {
		return func(group string, at time.Time, running, behind []ident.Ident) {
			g.requests.Sample(kind, group, running, behind, at, now)
		}
	}
	g.trail.Sample(now, take(chance.WentOn))
	g.trail.SampleAny(now, take(chance.Any))
	g.requests.Judge(now)
}

// RecordLost records that an upstream has closed all idle connections to an address. If it had just answered requests, it may have ended under them, which shows some
// time later. One that leaves ends behind its last answers in any case, which says nothing for them nor against them.
func (g *Guard) RecordLost(addr string) { g.lost(addr, false) }

// RecordUnseen records that no connection can tell whether the upstream at an address ends behind the answer that it has just given.
func (g *Guard) RecordUnseen(addr string) { g.lost(addr, true) }

func (g *Guard) lost(addr string, blind bool) {
	now := time.Now()
	if t, look := g.trail.Lost(addr, blind, now); look {
		g.look(t, now, func(addr string) bool { return g.IsToBlame == nil || g.IsToBlame(addr, now, now, false) })
	}
}

// look finds out whether an upstream that shows a sign of it has ended, which takes ended a while to tell.
func (g *Guard) look(t target.Target, now time.Time, ended func(addr string) bool) {
	if !g.stays(t) {
		g.trail.Ended(t, now, now)
		return
	}
	go func() {
		if !ended(t.Addr) {
			g.trail.GoOn(t, time.Now())
			return
		}
		g.recordEnd(t, g.nameOf(t, now), now, time.Now())
	}()
}

// stays reports whether an upstream has not announced that it leaves.
func (g *Guard) stays(t target.Target) bool { return g.Stays == nil || g.Stays(t) }

// RecordLooked records that all connections that were closed by a moment have been told by RecordLost.
func (g *Guard) RecordLooked(at time.Time) { g.trail.Looked(at) }

// recordEnd records that an incarnation of an upstream has ended under the requests that were there, once.
func (g *Guard) recordEnd(t target.Target, name string, sent, ended time.Time) {
	running, behind, first := g.trail.Ended(t, sent, ended)
	if !first {
		return
	}
	for _, i := range g.requests.RecordEnd(t.Group, name, running, behind, ended, time.Now()) {
		g.Stats.Add(stats.Breaks, 1, "outcome", "behind")
		g.Log.Info("upstream ended behind the answer to a request", append(known(i), zap.String("target", t.ID), zap.String("incarnation", name))...)
	}
	if g.stays(t) {
		g.orphans.End(t, ended, func(i ident.Ident, givenUp time.Time) { g.countBreak(i, t, name, givenUp) })
	}
	g.Log.Info("upstream ended", zap.String("target", t.ID), zap.String("incarnation", name), zap.Int("running", len(running)), zap.Int("behind", len(behind)))
}
