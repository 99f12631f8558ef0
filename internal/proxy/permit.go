package proxy

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
	// permitTimeout bounds a call to the host that counts the requests for an upstream: some round trips between hosts.
	permitTimeout = 100 * time.Millisecond
	// uncountedWait is the assumed wait for an upstream with a limit when the host that counts its requests did not answer.
	uncountedWait = 500 * time.Millisecond
)

// placePlain chooses one of the upstreams without an owner, with a permit where it has a limit or is brittle. The request
// waits for room at brittle ones while it can still be on time, since the requests that run there end soon.
func (p *Proxy) placePlain(ctx context.Context, j *job, all []target.Target) (target.Target, int, *refuse.Refusal) {
	for {
		t, wait, ok := p.firstPermitted(ctx, j, all)
		if ok {
			return t, 0, nil
		}
		if ctx.Err() != nil {
			return target.Target{}, 0, p.contextRefusal(ctx, j)
		}
		if !p.anyBrittle(all) || j.waitBudget(time.Now(), 0) <= wait {
			return p.noRoom(j, wait)
		}
		ticker.Sleep(ctx, wait)
		if all = p.candidates(j); len(all) == 0 {
			return target.Target{}, 0, p.noUpstream(j)
		}
	}
}

// firstPermitted returns the first of the upstreams with room for the request, or else the shortest wait for room.
func (p *Proxy) firstPermitted(ctx context.Context, j *job, all []target.Target) (t target.Target, shortest time.Duration, ok bool) {
	shortest = -1
	for _, t := range p.Pick.Order(all, time.Now()) {
		err := p.permit(ctx, j, t)
		if err == nil {
			return t, 0, true
		}
		if wait := intent.WaitOf(err); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return target.Target{}, shortest, false
}

// anyBrittle reports whether one of the upstreams is brittle.
func (p *Proxy) anyBrittle(all []target.Target) bool {
	return slices.ContainsFunc(all, func(t target.Target) bool { return p.Flight.Brittle(t) })
}

// noRoom returns the refusal of a request for which no upstream has room before the shortest wait ends.
func (p *Proxy) noRoom(j *job, shortest time.Duration) (target.Target, int, *refuse.Refusal) {
	return target.Target{}, 0, refuse.NewRefusal(j.verdict(), refuse.Overloaded,
		"the upstreams of %s take no more requests for %v", j.group, shortest).
		WithRetry(max(defaultRetry, shortest))
}

// permit has a request counted at an upstream without an owner that has a rate limit or is brittle. If there is no room, the error is a
// intent.ErrPromptQueueFull with the time until there is.
func (p *Proxy) permit(ctx context.Context, j *job, t target.Target) error {
	brittle := p.Flight.Brittle(t)
	if !brittle && !p.Ration.Limited(t.ID) {
		return nil
	}
	if wait := p.Pick.Wait(t.ID, time.Now()); brittle && wait > 0 {
		return intent.NewPromptQueueFull(wait) // from the reply to another request a moment ago
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	turn := turn{t.ID, rand.Uint64()}
	err := p.Permit(ctx, intent.Intent{EngineID: t.ID, Turn: turn.number, MaxLoadWait: time.Until(j.deadline())})
	if err == nil {
		j.permit = turn
		return nil
	}
	if !errors.Is(err, intent.ErrPromptQueueFull) {
		// No host counts at the moment. Sent anyway, the requests of all hosts together could exceed the limit.
		err = intent.NewPromptQueueFull(uncountedWait)
	}
	j.addNote("over-limit")
	p.Pick.SetWait(t.ID, intent.WaitOf(err), time.Now())
	return err
}

// releasePermit reports that a request at a brittle upstream has ended, and whether it was rejected for lack of room.
func (p *Proxy) releasePermit(j *job, t target.Target) {
	permit, full := j.permit, j.rejectedFull
	j.permit, j.rejectedFull = turn{}, false
	if permit.number != 0 || full && p.Flight.Brittle(t) {
		p.EndTurn(spent.Spent{Engine: t.ID, Turn: permit.number, Away: full})
	}
}

// preferUnlimited returns the upstreams without a rate limit, or all if there are none: limited ones get no further adapters
// while others have room.
func (p *Proxy) preferUnlimited(list []target.Target) []target.Target {
	if !p.Ration.AnyLimited() {
		return list
	}
	unlimited := filter(list, func(t target.Target) bool { return !p.Ration.Limited(t.ID) })
	if len(unlimited) == 0 {
		return list
	}
	return unlimited
}
