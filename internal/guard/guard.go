// Package guard keeps requests that crash upstreams from them. It takes what became of each send, and says what may be sent.
//
// A request may crash each upstream that runs it by itself (package blame) or by a part of its prompt that others share (package poison).
package guard

import (
	"fmt"
	"strconv"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/blame"
	"damaskreach/internal/block"
	"damaskreach/internal/ident"
	"damaskreach/internal/orphan"
	"damaskreach/internal/poison"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
	"damaskreach/internal/trail"
)

// Guard may be used from several goroutines. Its fields are set before it is used.
type Guard struct {
	// IsToBlame waits until it is known whether an upstream caused the break or the silence of a request sent at a time, rather than this
	// host's network, and reports whether it did; nil means that it always did.
	IsToBlame func(addr string, sent, failed time.Time, silent bool) bool
	// Crashed reports whether nothing listens any more where an upstream did.
	Crashed func(addr string) bool
	// Stays reports whether an upstream is registered, or has a successor, and has not announced that it leaves; nil means that each one is.
	Stays func(t target.Target) bool
	Log   *zap.Logger
	Stats *stats.Stats

	requests *blame.Blame
	parts    *poison.Poison
	orphans  orphan.Orphan
	trail    *trail.Trail
}

// NewGuard returns a Guard that knows of no crash, of a host that others know by a name.
func NewGuard(host string) *Guard {
	requests := blame.NewBlame()
	requests.Host = host
	return &Guard{requests: requests, parts: poison.NewPoison(), trail: trail.NewTrail()}
}

// Blocked returns why a request must not be sent, empty if it may be. It is to be asked before each send: others like it may have crashed
// upstreams while it waited.
func (g *Guard) Blocked(i ident.Ident, now time.Time) (why string) {
	g.settle(now)
	if g.requests.Blocked(i.Fingerprint, now) {
		return "upstreams broke off under earlier tries of it"
	}
	if g.requests.Held(i, now) {
		return "upstreams broke off under requests that differ from it in address and query alone"
	}
	if part := g.parts.Blocked(i.Parts, now); part != "" {
		return fmt.Sprintf("engines crashed under prompts with the part %s", part)
	}
	return ""
}

// MayRetry reports whether a request may go to a further upstream after one broke off under it: not if others crashed under what it holds, too.
func (g *Guard) MayRetry(i ident.Ident, now time.Time) bool {
	for _, fingerprint := range []string{i.Fingerprint, i.Wide} {
		if g.requests.Blocked(fingerprint, now) || g.requests.OnTrial(fingerprint, now) {
			return false
		}
	}
	return !g.requests.Suspected(i, now) && !g.parts.Suspected(i.Parts, now)
}

// RecordBreak records that an upstream broke off while it ran a request, or that it fell silent. It counts against the request unless this host's
// network was the cause or the upstream goes on, which shows some time later; and against the parts of its prompt if the upstream has crashed.
func (g *Guard) RecordBreak(i ident.Ident, t target.Target, sent time.Time, silent bool) {
	now := time.Now()
	if !silent {
		g.trail.Doubt(t, sent, now)
	}
	if g.IsToBlame == nil {
		name := g.nameOf(t, sent)
		g.recordEnd(t, name, sent, now)
		g.countBreak(i, t, name, now)
	} else {
		go g.judgeBreak(i, t, sent, now, silent)
	}
	if !silent {
		g.recordCrash(i, t, now)
	}
}

// judgeBreak counts a break if its upstream is to blame. It may show later that it has ended: in its registration.
func (g *Guard) judgeBreak(i ident.Ident, t target.Target, sent, broke time.Time, silent bool) {
	if g.IsToBlame(t.Addr, sent, broke, silent) {
		name := g.nameOf(t, sent)
		if !silent {
			g.recordEnd(t, name, sent, broke)
		}
		g.countBreak(i, t, name, broke)
		return
	}
	if !silent {
		g.trail.GoOn(t, time.Now())
	}
	g.Stats.Add(stats.Breaks, 1, "outcome", "excused")
	g.Log.Info("upstream not to blame for a break", append(known(i), zap.String("target", t.ID), zap.Duration("after", broke.Sub(sent)))...)
	if !silent {
		g.orphans.Add(i, t, broke, broke)
	}
}

// countBreak counts a break against its request, unless the request has run well since.
func (g *Guard) countBreak(i ident.Ident, t target.Target, name string, broke time.Time) {
	n, wide := g.requests.RecordBreak(i, name, broke, time.Now())
	if n == 0 {
		g.Stats.Add(stats.Breaks, 1, "outcome", "excused")
		g.Log.Info("request not to blame for a break", append(known(i), zap.String("target", t.ID))...)
		return
	}
	g.Stats.Add(stats.Breaks, 1, "outcome", "counted")
	g.Log.Info("upstream broke off while running a request", append(known(i), zap.String("target", t.ID), zap.String("incarnation", name), zap.Int("upstreams", n), zap.Int("wide_upstreams", wide))...)
}

// RecordGivenUp records that this host has given up a request that its upstream may go on running until a deadline. If the upstream ends meanwhile, that
// counts like a break.
func (g *Guard) RecordGivenUp(run uint64, i ident.Ident, t target.Target, deadline time.Time) {
	g.trail.GiveUp(run, deadline)
	g.Log.Debug("request given up that its upstream may run", append(known(i), zap.String("incarnation", incarnation(t)), zap.Time("until", deadline))...)
	g.orphans.Add(i, t, deadline, time.Now())
}

// CheckGivenUp counts the upstreams that have ended under requests that were given up, given the registrations. leaves reports whether an upstream has
// announced that it leaves.
func (g *Guard) CheckGivenUp(registered map[string]target.Target, leaves func(t target.Target) bool) {
	g.orphans.Check(registered, leaves, g.Crashed, time.Now(), func(i ident.Ident, t target.Target, givenUp time.Time) {
		g.countBreak(i, t, g.nameOf(t, givenUp), givenUp)
	})
}

// CheckReplaced counts the ends of upstreams that nobody has noticed, as nothing of this host's was there, given the registrations: left out, it would look as if something
// were at all ends that is at most of those that are noticed. leaves reports whether an upstream has announced that it leaves.
func (g *Guard) CheckReplaced(registered map[string]target.Target, leaves func(t target.Target) bool) {
	now := time.Now()
	g.trail.Replaced(registered, func(t target.Target, since time.Time) {
		if !leaves(t) {
			g.requests.RecordReplaced(t.Group, incarnation(t), since, now)
		}
	})
}

// recordCrash records the parts of a request's prompt if its upstream has crashed. What counts is when it broke off, not when that showed: engines that crash
// together show it one after the other.
func (g *Guard) recordCrash(i ident.Ident, t target.Target, broke time.Time) {
	if len(i.Parts) == 0 || !g.Crashed(t.Addr) {
		return
	}
	if part := g.parts.RecordCrash(i.Parts, incarnation(t), broke); part != "" {
		g.Log.Warn("part of prompts crashes engines", zap.String("part", part), zap.String("request", i.Request), zap.String("target", t.ID))
	}
}

// known returns what log lines tell of a request: two that differ in their caller, their query or nothing can be told apart by them.
func known(i ident.Ident) []zap.Field {
	return []zap.Field{zap.String("request", i.Request), zap.String("print", i.Fingerprint), zap.String("wide", i.Wide), zap.String("caller", i.Caller)}
}

// nameOf names the incarnation of an upstream that a request was sent to at a time: its registration, or one that has not registered yet.
func (g *Guard) nameOf(t target.Target, sent time.Time) string {
	if n := g.trail.Restarts(t, sent); n > 0 {
		return incarnation(t) + "#" + strconv.Itoa(n)
	}
	return incarnation(t)
}

// incarnation names a registered incarnation of an upstream.
func incarnation(t target.Target) string {
	return t.ID + "/" + strconv.FormatInt(t.Incarnation, 36)
}

// RecordSound records that a request has run for long enough to clear the parts of its prompt.
func (g *Guard) RecordSound(i ident.Ident, now time.Time) {
	g.parts.RecordSound(i.Parts, now)
}

// TakeReports returns what other hosts have not been told yet, as much as goes into one message.
func (g *Guard) TakeReports() []string {
	return append(g.requests.TakePending(), g.parts.TakePending()...)
}

// AddReports applies what another host tells.
func (g *Guard) AddReports(from string, list []string, now time.Time) {
	g.requests.AddReports(list, now)
	for _, part := range g.parts.AddReports(list, now) {
		g.Log.Warn("part of prompts crashes engines, by reports of other hosts", zap.String("part", part), zap.String("from", from))
	}
}

// Blocks returns the fingerprints of requests and the parts of prompts that are blocked, or were until a while ago.
func (g *Guard) Blocks(now time.Time) (requests, parts map[string]block.Block) {
	return g.requests.Blocks(now), g.parts.Blocks(now)
}

// Restore adds blocks that were begun before this host started or that another host knows.
func (g *Guard) Restore(requests, parts map[string]block.Block, now time.Time) {
	g.requests.Restore(requests, now)
	g.parts.Restore(parts, now)
}
