package direct

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
	// crowded and slack say when an adapter gets one more engine: where those that hold it have so many times the mean of
	// running requests, and so many more.
	crowded = 1.4
	slack   = 3
	// full is the part of its slots from which an engine counts as crowded whatever the others have: beyond them requests queue.
	full = 0.75
	// shortWait is how long a request waits for other prompts at one engine before it looks at the next that holds its
	// adapter: less than a prompt takes to read.
	shortWait = 40 * time.Millisecond
	// longWait is the wait at the best of the engines that hold an adapter from which it gets one more: about what the load takes.
	longWait = 200 * time.Millisecond
	// worthLoad is the wait at engines that hold an adapter from which a request has it loaded at one that has nothing to do: what
	// a load takes, and the way there.
	worthLoad = 400 * time.Millisecond
	// mostAsked is how many engines are asked for a short wait; each costs a round trip between hosts.
	mostAsked = 4
)

// place returns the upstream for the next send and the version of the adapter that it must have, 0 for any.
func (x *Direct) place(ctx context.Context, j *job) (target.Target, int, *refuse.Refusal) {
	j.view = x.View()
	all := x.candidates(j)
	if len(all) == 0 {
		return target.Target{}, 0, x.none(j)
	}
	if !j.view.Rules.Pools[j.group].Engine || j.d.Model == "" {
		return x.plain(ctx, j, all)
	}
	able := kept(all, func(t target.Target) bool { return t.HasModel(j.d.Model) })
	if len(able) == 0 {
		return target.Target{}, 0, refuse.NewRefusal(j.verdict(), refuse.NoUpstream, "no engine holds %s", j.d.Model).WithRetry(comeBack)
	}
	if j.d.Adapter == "" {
		return x.admitAny(ctx, j, able, 0, anyTime, func() {})
	}
	return x.placeAdapter(ctx, j, able)
}

// candidates returns the ready upstreams of the group to which this request may go.
func (x *Direct) candidates(j *job) []target.Target {
	now := time.Now()
	return kept(j.view.Group(j.group), func(t target.Target) bool {
		return !t.Draining && j.open(t.ID) && x.Avoid.Takes(t, now)
	})
}

// placeAdapter prefers an engine that holds the adapter in the newest version.
func (x *Direct) placeAdapter(ctx context.Context, j *job, able []target.Target) (target.Target, int, *refuse.Refusal) {
	now := time.Now()
	version := j.view.Versions[j.d.Adapter]
	holders, older := x.Holds.Holders(able, j.d.Adapter, version, now)
	// Few requests need the engines that do not hold their adapter, and those are nearly all.
	others := sync.OnceValue(func() []target.Target { return except(able, holders, older) })
	if sound := x.sound(holders, now); len(sound) > 0 {
		if x.crowded(sound, able, now) {
			x.spreadTo(j, others, older, version, now)
		}
		// All are looked for only where the request has waited in vain: most get their turn at once, and sites have thousands of engines.
		looked := sync.OnceValue(time.Now)
		most := func() time.Duration {
			if x.someIdle(j, able, append(holders[:len(holders):len(holders)], older...), looked()) {
				return worthLoad
			}
			return 0
		}
		t, v, refusal := x.admitAny(ctx, j, sound, version, most, func() { x.spreadTo(j, others, older, version, time.Now()) })
		if refusal == nil || refusal.Code != refuse.Overloaded {
			return t, v, refusal
		}
		idle := x.idle(j, others(), looked())
		if len(idle) == 0 {
			return t, v, refusal
		}
		return x.load(ctx, j, idle, nil, version)
	}
	if recent, until := x.recent(j, older, now); len(recent) > 0 {
		x.spreadTo(j, others, older, version, now)
		return x.admitOlder(ctx, j, recent, until)
	}
	if len(holders) > 0 && len(x.usable(others(), now))+len(x.usable(older, now)) == 0 {
		return x.admitAny(ctx, j, holders, version, anyTime, func() {})
	}
	return x.load(ctx, j, others(), older, version)
}

// idle returns the engines of a list where a prompt would hardly wait. A request is not refused while one of them could have
// its adapter loaded in time; where all are busy, a load would only take the place of what others use. So it would where the request
// is late even with it: after a mass loss most loads would be such copies, in the way of first loads.
func (x *Direct) idle(j *job, list []target.Target, now time.Time) []target.Target {
	var idle []target.Target
	for _, t := range x.usable(list, now) {
		if x.idles(j, t.ID, now) {
			idle = append(idle, t)
		}
	}
	return idle
}

// someIdle reports whether there is such an engine in a list beside those that hold the adapter. Mostly it is among the first.
func (x *Direct) someIdle(j *job, list, holders []target.Target, now time.Time) bool {
	for _, t := range list {
		if !x.Ration.Limited(t.ID) && !among(holders, t) && x.idles(j, t.ID, now) && x.loadable(t.ID, now) {
			return true
		}
	}
	// Engines that name a limit count only where there are no others.
	return x.Ration.Some() && len(x.idle(j, except(list, holders, nil), now)) > 0
}

// idles reports whether a prompt would hardly wait at an engine, and be on time after a load.
func (x *Direct) idles(j *job, id string, now time.Time) bool {
	return x.Pick.Waiting(id, now) < longWait && j.patience(now, x.takes(j, id)) >= longWait
}

// recent returns the engines of a list whose version of the request's adapter went out of date so short a time ago that it still serves, and
// until when all of them do.
func (x *Direct) recent(j *job, older []target.Target, now time.Time) (list []target.Target, until time.Time) {
	for _, t := range older {
		held, _ := x.Holds.Version(t, j.d.Adapter, now)
		ends := j.view.ReplacedAt(j.d.Adapter, held).Add(x.Grace())
		if !now.Before(ends) {
			continue
		}
		if len(list) == 0 || ends.Before(until) {
			until = ends
		}
		list = append(list, t)
	}
	return list, until
}

// admitOlder waits for a turn at an engine with an older version, but not beyond the time for which that still serves. The
// request begins there after the wait; without this bound a long wait would let it begin on a version that is out of force.
func (x *Direct) admitOlder(ctx context.Context, j *job, older []target.Target, until time.Time) (target.Target, int, *refuse.Refusal) {
	waitCtx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	t, version, refusal := x.admitAny(waitCtx, j, older, 0, anyTime, func() {})
	if waitCtx.Err() == nil {
		return t, version, refusal
	}
	if ctx.Err() != nil {
		return target.Target{}, 0, x.ended(ctx, j)
	}
	return x.place(ctx, j)
}

// sound returns the upstreams that are not left alone at present.
func (x *Direct) sound(list []target.Target, now time.Time) []target.Target {
	return kept(list, func(t target.Target) bool { return !x.Pick.Resting(t.ID, now) })
}

// crowded reports whether the least busy of the engines that hold an adapter is much busier than engines are on average, or nearly full.
func (x *Direct) crowded(holders, able []target.Target, now time.Time) bool {
	best := x.Pick.Order(holders, now)[0]
	if float64(x.Pick.Load(best.ID, now)) > full*float64(best.Slots) {
		return true
	}
	busy := x.Pick.Busy(best.ID, now)
	// Most engines are not busy enough to be crowded whatever the others have.
	return busy > slack && busy > crowded*x.Pick.Mean(able, now)+slack
}

// spreadTo has an adapter loaded at one more engine, without waiting for it.
func (x *Direct) spreadTo(j *job, others func() []target.Target, older []target.Target, version int, now time.Time) {
	if len(others())+len(older) == 0 || !x.spread.due(j.d.Adapter, now) {
		return
	}
	go x.loadAside(x.first(j, others(), older), j, version)
}

// anyTime lets a request wait for a turn for as long as that is of use.
func anyTime() time.Duration { return 0 }

// admitAny waits for its turn at one of the engines. The less busy ones are asked first for a short wait; where all that were
// asked have a longer one, crowd is called and the request waits where the wait is shortest, for as long as most says at
// the longest, 0 for any time that is of use. An engine whose host cannot be asked is sent the request all the same: it holds the
// adapter.
func (x *Direct) admitAny(
	ctx context.Context, j *job, list []target.Target, version int, most func() time.Duration, crowd func(),
) (target.Target, int, *refuse.Refusal) {
	ordered := x.Pick.Order(list, time.Now())
	best, shortest := ordered[0], time.Duration(-1)
	for _, t := range ordered[:min(len(ordered), mostAsked)] {
		if len(ordered) == 1 {
			break
		}
		err := x.ask(ctx, j, t, version, shortWait)
		if !errors.Is(err, intent.ErrPromptQueueFull) {
			return x.admitted(ctx, j, t, version, err)
		}
		if wait := intent.WaitOf(err); shortest < 0 || wait < shortest {
			best, shortest = t, wait
		}
	}
	if shortest > longWait {
		crowd()
	}
	return x.admitted(ctx, j, best, version, x.ask(ctx, j, best, version, most()))
}

// admitted takes the answer to asking for a turn. An engine that names a limit, or is brittle, gets nothing that nobody has counted.
func (x *Direct) admitted(ctx context.Context, j *job, t target.Target, version int, err error) (target.Target, int, *refuse.Refusal) {
	if ctx.Err() != nil {
		return target.Target{}, 0, x.ended(ctx, j)
	}
	if errors.Is(err, intent.ErrPromptQueueFull) || j.waited(err) {
		return target.Target{}, 0, x.full(j, t)
	}
	if errors.Is(err, intent.ErrLoadFailed) || errors.Is(err, intent.ErrDraining) || err != nil && (x.Ration.Limited(t.ID) || x.Flight.Brittle(t)) || !x.still(t) {
		j.fail(t.ID, refuse.NewRefusal(j.verdict(), refuse.NoUpstream, "%s does not serve %s now", t.ID, j.d.Adapter).WithRetry(comeBack))
		return x.place(ctx, j)
	}
	if err != nil {
		j.did("unasked")
		x.Stats.Add(stats.Admits, 1, "outcome", "unasked")
	}
	return t, version, nil
}

// full returns the refusal of a request for which no engine that holds its adapter has a turn in time. Sent all the same, its
// prompt would hold up the streams of others. Its caller comes back when the prompts that wait now should be read.
func (x *Direct) full(j *job, t target.Target) *refuse.Refusal {
	wait := max(comeBack, x.Pick.Waiting(t.ID, time.Now()))
	left := time.Until(j.hopeless()).Round(time.Millisecond)
	return refuse.NewRefusal(j.verdict(), refuse.Overloaded, "no turn for a prompt within %v", left).WithRetry(wait)
}

// still reports whether an upstream that was chosen before a wait may still get new requests.
func (x *Direct) still(t target.Target) bool {
	return x.stillIn(x.View(), t, time.Now())
}

// stillIn reports the same as of a view and a time.
func (x *Direct) stillIn(v view.View, t target.Target, now time.Time) bool {
	known, ok := v.Targets[t.ID]
	return ok && known.SameIncarnation(t) && !known.Draining && x.Avoid.Takes(known, now)
}

// stays reports whether an upstream is not about to end, as far as its registration and its answers say.
func (x *Direct) stays(t target.Target) bool {
	return !t.Draining && !x.Avoid.Leaves(t)
}

// none returns the refusal of a request for which no upstream takes requests. Where all that there are rest, it may come back once the first has.
func (x *Direct) none(j *job) *refuse.Refusal {
	shortest := time.Duration(-1)
	for _, t := range j.view.Group(j.group) {
		if !x.stays(t) {
			continue
		}
		if rest := x.Avoid.Rest(t.ID, time.Now()); shortest < 0 || rest < shortest {
			shortest = rest
		}
	}
	if shortest > 0 {
		return refuse.NewRefusal(j.verdict(), refuse.Overloaded, "the upstreams of %s want no requests for %v", j.group, shortest).
			WithRetry(max(comeBack, shortest))
	}
	return refuse.NewRefusal(j.verdict(), refuse.NoUpstream, "no upstream of %s is ready", j.group).WithRetry(comeBack)
}

// hostEnds returns the refusal of a request whose host ends.
func hostEnds(j *job) *refuse.Refusal {
	return refuse.NewRefusal(j.verdict(), refuse.Leaving, "this host ends").WithRetry(elsewhere)
}

// ended returns the refusal of a request whose caller left, whose time is over, or whose host ends. One look tells which: the request may end between
// two, and a host's end would be taken for a caller's leaving.
func (x *Direct) ended(ctx context.Context, j *job) *refuse.Refusal {
	switch over := context.Cause(ctx); {
	case errors.Is(over, errEnding):
		return hostEnds(j)
	case errors.Is(over, context.Canceled):
		return refuse.NewRefusal(verd.MayHaveRun, refuse.Canceled, "the caller left")
	}
	return refuse.NewRefusal(j.verdict(), refuse.Deadline, "not answered within %v", time.Since(j.begun).Round(time.Millisecond))
}
