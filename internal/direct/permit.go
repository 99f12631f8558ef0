package direct

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"damaskreach/internal/intent"
	"damaskreach/internal/spent"
	"damaskreach/internal/target"
	"damaskreach/internal/ticker"
	"damaskreach/pkg/refuse"
)

const (
	// permitFor bounds asking the host that counts the requests for an upstream: some round trips between hosts.
	permitFor = 100 * time.Millisecond
	// uncounted is how long an upstream that names a limit is left to others where nobody could be asked.
	uncounted = 500 * time.Millisecond
)

// plain returns the best of the upstreams that take no orders. One that names a limit, or is brittle, is asked for only where there is room. A request waits
// for room at brittle ones while it can be on time: those that run end soon.
func (x *Direct) plain(ctx context.Context, j *job, all []target.Target) (target.Target, int, *refuse.Refusal) {
	for {
		t, wait, ok := x.permitted(ctx, j, all)
		if ok {
			return t, 0, nil
		}
		if ctx.Err() != nil {
			return target.Target{}, 0, x.ended(ctx, j)
		}
		if !x.brittle(all) || j.patience(time.Now(), 0) <= wait {
			return x.noRoom(j, wait)
		}
		ticker.Sleep(ctx, wait)
		if all = x.candidates(j); len(all) == 0 {
			return target.Target{}, 0, x.none(j)
		}
	}
}

// permitted returns the first of the upstreams that has room for the request, or how long it will be until one has.
func (x *Direct) permitted(ctx context.Context, j *job, all []target.Target) (t target.Target, shortest time.Duration, ok bool) {
	shortest = -1
	for _, t := range x.Pick.Order(all, time.Now()) {
		err := x.permit(ctx, j, t)
		if err == nil {
			return t, 0, true
		}
		if wait := intent.WaitOf(err); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return target.Target{}, shortest, false
}

// brittle reports whether one of the upstreams is.
func (x *Direct) brittle(all []target.Target) bool {
	return slices.ContainsFunc(all, func(t target.Target) bool { return x.Flight.Brittle(t) })
}

// noRoom returns the refusal of a request for which no upstream has room for so long.
func (x *Direct) noRoom(j *job, shortest time.Duration) (target.Target, int, *refuse.Refusal) {
	return target.Target{}, 0, refuse.NewRefusal(j.verdict(), refuse.Overloaded, "the upstreams of %s take no more requests for %v", j.group, shortest).
		WithRetry(max(comeBack, shortest))
}

// permit has a request counted at an upstream that names a limit and has no host that gives it orders. Where the limit leaves no room, the error
// is an ErrCrowded with the time until it does.
func (x *Direct) permit(ctx context.Context, j *job, t target.Target) error {
	brittle := x.Flight.Brittle(t)
	if !brittle && !x.Ration.Limited(t.ID) {
		return nil
	}
	if wait := x.Pick.Waiting(t.ID, time.Now()); brittle && wait > 0 {
		return intent.NewPromptQueueFull(wait) // as another request was told a moment ago
	}
	ctx, cancel := context.WithTimeout(ctx, permitFor)
	defer cancel()
	turn := turn{t.ID, rand.Uint64()}
	err := x.Permit(ctx, intent.Intent{EngineID: t.ID, Turn: turn.number, MaxLoadWait: time.Until(j.deadline())})
	if err == nil {
		j.seat = turn
		return nil
	}
	if !errors.Is(err, intent.ErrPromptQueueFull) {
		// Nobody counts at the moment. Sent all the same, the requests of all hosts would add up.
		err = intent.NewPromptQueueFull(uncounted)
	}
	j.did("over-limit")
	x.Pick.Waits(t.ID, intent.WaitOf(err), time.Now())
	return err
}

// vacate tells that a request at a brittle upstream has ended, and whether that had no room for it.
func (x *Direct) vacate(j *job, t target.Target) {
	seat, away := j.seat, j.away
	j.seat, j.away = turn{}, false
	if seat.number != 0 || away && x.Flight.Brittle(t) {
		x.Spent(spent.Spent{Engine: t.ID, Turn: seat.number, Away: away})
	}
}

// unlimited returns the upstreams that name no limit, or all where each of them does: one in need gets no further adapters while others have room.
func (x *Direct) unlimited(list []target.Target) []target.Target {
	if !x.Ration.Some() {
		return list
	}
	free := kept(list, func(t target.Target) bool { return !x.Ration.Limited(t.ID) })
	if len(free) == 0 {
		return list
	}
	return free
}
