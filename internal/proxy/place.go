package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
	"damaskreach/internal/view"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	// crowdedRatio and crowdedExtra define when an adapter is loaded to one more engine: when the least busy engine that holds it has
	// more running requests than crowdedRatio times the mean of all engines, plus crowdedExtra.
	crowdedRatio = 1.4
	crowdedExtra = 3
	// fullShare is the share of its slots beyond which an engine counts as crowded, whatever the mean: beyond all slots requests queue.
	fullShare = 0.75
	// probeWait is how long a request waits for a turn at one engine before it asks the next one that holds its adapter: less than
	// it takes to read a prompt.
	probeWait = 40 * time.Millisecond
	// longWait is the shortest wait among an adapter's engines beyond which it is loaded to one more: about the time of a load.
	longWait = 200 * time.Millisecond
	// loadWorthWait is the wait at the engines that hold an adapter beyond which a request has it loaded at an idle one: the time of a
	// load and its round trips.
	loadWorthWait = 400 * time.Millisecond
	// maxProbes is how many engines are asked for a turn after a short wait; each costs a round trip between hosts.
	maxProbes = 4
)

// place chooses the upstream for the next send and the version of the adapter that it must have, 0 for any.
func (p *Proxy) place(ctx context.Context, j *job) (target.Target, int, *refuse.Refusal) {
	j.view = p.View()
	all := p.candidates(j)
	if len(all) == 0 {
		return target.Target{}, 0, p.noUpstream(j)
	}
	if !j.view.Rules.Pools[j.group].Engine || j.req.Model == "" {
		return p.placePlain(ctx, j, all)
	}
	able := filter(all, func(t target.Target) bool { return t.HasModel(j.req.Model) })
	if len(able) == 0 {
		return target.Target{}, 0, refuse.NewRefusal(j.verdict(), refuse.NoUpstream, "no engine holds %s", j.req.Model).WithRetry(defaultRetry)
	}
	if j.req.Adapter == "" {
		return p.admitAny(ctx, j, able, 0, unbounded, func() {})
	}
	return p.placeAdapter(ctx, j, able)
}

// candidates returns the group's upstreams that are ready for this request.
func (p *Proxy) candidates(j *job) []target.Target {
	now := time.Now()
	ready := filter(j.view.Group(j.group), func(t target.Target) bool {
		return !t.Draining && j.mayUse(t) && p.Avoid.Accepts(t, now)
	})
	return p.withoutRecentBuilds(j, ready)
}

// placeAdapter chooses an engine for a request that names an adapter, preferring engines that hold its newest version.
func (p *Proxy) placeAdapter(ctx context.Context, j *job, able []target.Target) (target.Target, int, *refuse.Refusal) {
	now := time.Now()
	version := j.view.Versions[j.req.Adapter]
	holders, older := p.Holds.Holders(able, j.req.Adapter, version, now)
	// Computed on demand: nearly all engines are in this list, and few requests need it.
	others := sync.OnceValue(func() []target.Target { return except(able, holders, older) })
	if healthy := p.available(holders, now); len(healthy) > 0 {
		if p.isCrowded(healthy, able, now) {
			p.addReplica(j, others, older, version, now)
		}
		// Idle engines are searched for only after a wait in vain: most requests get a turn at once, and sites have thousands of engines.
		checkedAt := sync.OnceValue(time.Now)
		maxWait := func() time.Duration {
			if p.anyIdle(j, able, append(holders[:len(holders):len(holders)], older...), checkedAt()) {
				return loadWorthWait
			}
			return 0
		}
		t, v, refusal := p.admitAny(ctx, j, healthy, version, maxWait, func() { p.addReplica(j, others, older, version, time.Now()) })
		if refusal == nil || refusal.Code != refuse.Overloaded {
			return t, v, refusal
		}
		idle := p.idleEngines(j, others(), checkedAt())
		if len(idle) == 0 {
			return t, v, refusal
		}
		return p.load(ctx, j, idle, nil, version)
	}
	if recent, until := p.stillServing(j, older, now); len(recent) > 0 {
		p.addReplica(j, others, older, version, now)
		return p.admitOlder(ctx, j, recent, until)
	}
	if len(holders) > 0 && len(p.loadableEngines(others(), now))+len(p.loadableEngines(older, now)) == 0 {
		return p.admitAny(ctx, j, holders, version, unbounded, func() {})
	}
	return p.load(ctx, j, others(), older, version)
}

// idleEngines returns the engines of a list where a prompt would hardly wait. A request is not refused while one of them could
// load its adapter in time. Loads at busy engines would only evict adapters that others use, and so would loads for requests
// that are late anyway: after the loss of many engines most loads would be such replicas and would delay first loads.
func (p *Proxy) idleEngines(j *job, list []target.Target, now time.Time) []target.Target {
	var idle []target.Target
	for _, t := range p.loadableEngines(list, now) {
		if p.isIdle(j, t.ID, now) {
			idle = append(idle, t)
		}
	}
	return idle
}

// anyIdle reports whether the list has an idle engine besides the holders. It usually finds one early in the list.
func (p *Proxy) anyIdle(j *job, list, holders []target.Target, now time.Time) bool {
	for _, t := range list {
		if !p.Ration.Limited(t.ID) && !contains(holders, t) && p.isIdle(j, t.ID, now) && p.loadable(t.ID, now) {
			return true
		}
	}
	// Engines with a rate limit count only if there are no others.
	return p.Ration.AnyLimited() && len(p.idleEngines(j, except(list, holders, nil), now)) > 0
}

// isIdle reports whether a prompt would hardly wait at an engine, and still be on time after a load there.
func (p *Proxy) isIdle(j *job, id string, now time.Time) bool {
	return p.Pick.Wait(id, now) < longWait && j.waitBudget(now, p.firstEventDelay(j, id)) >= longWait
}

// stillServing returns the engines whose version of the request's adapter was replaced recently enough to still serve, and
// until when all of them may.
func (p *Proxy) stillServing(j *job, older []target.Target, now time.Time) (list []target.Target, until time.Time) {
	for _, t := range older {
		version, _ := p.Holds.Version(t, j.req.Adapter, now)
		expiry := j.view.ReplacedAt(j.req.Adapter, version).Add(p.VersionGrace())
		if !now.Before(expiry) {
			continue
		}
		if len(list) == 0 || expiry.Before(until) {
			until = expiry
		}
		list = append(list, t)
	}
	return list, until
}

// admitOlder waits for a turn at an engine with an older version, but no longer than that version may serve. Otherwise the
// request could begin on the older version after that.
func (p *Proxy) admitOlder(ctx context.Context, j *job, older []target.Target, until time.Time) (target.Target, int, *refuse.Refusal) {
	waitCtx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	t, version, refusal := p.admitAny(waitCtx, j, older, 0, unbounded, func() {})
	if waitCtx.Err() == nil {
		return t, version, refusal
	}
	if ctx.Err() != nil {
		return target.Target{}, 0, p.contextRefusal(ctx, j)
	}
	return p.place(ctx, j)
}

// available returns the upstreams that are not in backoff.
func (p *Proxy) available(list []target.Target, now time.Time) []target.Target {
	return filter(list, func(t target.Target) bool { return !p.Pick.InBackoff(t.ID, now) })
}

// isCrowded reports whether the least busy of an adapter's engines is much busier than the mean, or nearly full.
func (p *Proxy) isCrowded(holders, able []target.Target, now time.Time) bool {
	best := p.Pick.Order(holders, now)[0]
	if float64(p.Pick.Running(best.ID, now)) > fullShare*float64(best.Slots) {
		return true
	}
	busy := p.Pick.WeightedLoad(best.ID, now)
	// The first check avoids computing the mean for most engines.
	return busy > crowdedExtra && busy > crowdedRatio*p.Pick.MeanLoad(able, now)+crowdedExtra
}

// addReplica has an adapter loaded at one more engine, without waiting for it.
func (p *Proxy) addReplica(j *job, others func() []target.Target, older []target.Target, version int, now time.Time) {
	if len(others())+len(older) == 0 || !p.replicaTimes.allow(j.req.Adapter, now) {
		return
	}
	go p.loadReplica(p.chooseLoadTarget(j, others(), older), j, version)
}

// unbounded is a maximum wait for a turn of 0: any that is of use.
func unbounded() time.Duration { return 0 }

// admitAny waits for a turn at one of the engines. It asks the less busy ones first, for a short wait each. If all have longer
// queues, it calls onCrowded and waits at the one with the shortest queue, for at most maxWait (0 for any wait that is of use).
// If the engine's owner doesn't answer, the request is sent without a turn, since the engine holds the adapter.
func (p *Proxy) admitAny(
	ctx context.Context, j *job, list []target.Target, version int, maxWait func() time.Duration, onCrowded func(),
) (target.Target, int, *refuse.Refusal) {
	ordered := p.Pick.Order(list, time.Now())
	best, shortest := ordered[0], time.Duration(-1)
	for _, t := range ordered[:min(len(ordered), maxProbes)] {
		if len(ordered) == 1 {
			break
		}
		err := p.askTurn(ctx, j, t, version, probeWait)
		if !errors.Is(err, intent.ErrPromptQueueFull) {
			return p.admitted(ctx, j, t, version, err)
		}
		if wait := intent.WaitOf(err); shortest < 0 || wait < shortest {
			best, shortest = t, wait
		}
	}
	if shortest > longWait {
		onCrowded()
	}
	return p.admitted(ctx, j, best, version, p.askTurn(ctx, j, best, version, maxWait()))
}

// admitted handles the reply to a request for a turn. Upstreams that have a rate limit or are brittle get only requests that were counted.
func (p *Proxy) admitted(ctx context.Context, j *job, t target.Target, version int, err error) (target.Target, int, *refuse.Refusal) {
	if ctx.Err() != nil {
		return target.Target{}, 0, p.contextRefusal(ctx, j)
	}
	if errors.Is(err, intent.ErrPromptQueueFull) || j.noTurnInTime(err) {
		return target.Target{}, 0, p.noTurn(j, t)
	}
	if errors.Is(err, intent.ErrLoadFailed) || errors.Is(err, intent.ErrDraining) ||
		err != nil && (p.Ration.Limited(t.ID) || p.Flight.Brittle(t)) || !p.usable(t) {
		j.recordFailure(t.ID, refuse.NewRefusal(j.verdict(), refuse.NoUpstream, "%s does not serve %s now", t.ID, j.req.Adapter).
			WithRetry(defaultRetry))
		return p.place(ctx, j)
	}
	if err != nil {
		j.addNote("unasked")
		p.Stats.Add(stats.Admits, 1, "outcome", "unasked")
	}
	return t, version, nil
}

// noTurn returns the refusal of a request that gets no turn in time at any engine that holds its adapter. Sent anyway, its
// prompt would delay the streams of others. The caller retries once the prompts that are queued now should have been read.
func (p *Proxy) noTurn(j *job, t target.Target) *refuse.Refusal {
	wait := max(defaultRetry, p.Pick.Wait(t.ID, time.Now()))
	left := time.Until(j.sendDeadline()).Round(time.Millisecond)
	return refuse.NewRefusal(j.verdict(), refuse.Overloaded, "no turn for a prompt within %v", left).WithRetry(wait)
}

// usable reports whether an upstream that was chosen before a wait may still get new requests.
func (p *Proxy) usable(t target.Target) bool {
	return p.usableIn(p.View(), t, time.Now())
}

// usableIn is usable for a given view and time.
func (p *Proxy) usableIn(v view.View, t target.Target, now time.Time) bool {
	known, ok := v.Targets[t.ID]
	return ok && known.SameIncarnation(t) && !known.Draining && p.Avoid.Accepts(known, now)
}

// notLeaving reports whether neither its registration nor its answers say that an upstream is about to stop.
func (p *Proxy) notLeaving(t target.Target) bool {
	return !t.Draining && !p.Avoid.Leaving(t)
}

// noUpstream returns the refusal of a request that no upstream accepts. If all have asked for a pause, it may be retried after
// the shortest.
func (p *Proxy) noUpstream(j *job) *refuse.Refusal {
	if p.buildGone(j) {
		return refuse.NewRefusal(j.verdict(), refuse.NoBuild, "no upstream of %s with software %q, which began the stream, is ready", j.group, j.build).
			WithRetry(defaultRetry)
	}
	shortest := time.Duration(-1)
	for _, t := range j.view.Group(j.group) {
		if !p.notLeaving(t) {
			continue
		}
		if pause := p.Avoid.Pause(t.ID, time.Now()); shortest < 0 || pause < shortest {
			shortest = pause
		}
	}
	if shortest > 0 {
		return refuse.NewRefusal(j.verdict(), refuse.Overloaded, "the upstreams of %s want no requests for %v", j.group, shortest).
			WithRetry(max(defaultRetry, shortest))
	}
	return refuse.NewRefusal(j.verdict(), refuse.NoUpstream, "no upstream of %s is ready", j.group).WithRetry(defaultRetry)
}

// hostStopping returns the refusal of a request whose host stops.
func hostStopping(j *job) *refuse.Refusal {
	return refuse.NewRefusal(j.verdict(), refuse.Leaving, "this host ends").WithRetry(otherHostRetry)
}

// contextRefusal returns the refusal of a request whose caller left, whose time ran out, or whose host stops. It reads the
// context's cause only once: the context may end between two reads, and a stopping host would be taken for a caller that left.
func (p *Proxy) contextRefusal(ctx context.Context, j *job) *refuse.Refusal {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errHostStopping):
		return hostStopping(j)
	case errors.Is(cause, context.Canceled):
		return refuse.NewRefusal(verd.MayHaveRun, refuse.Canceled, "the caller left")
	}
	return refuse.NewRefusal(j.verdict(), refuse.Deadline, "not answered within %v", time.Since(j.start).Round(time.Millisecond))
}
