package direct

import (
	"context"
	"errors"
	"time"

	"damaskreach/internal/target"
	"damaskreach/internal/want"
	"damaskreach/pkg/refuse"
)

const (
	// permitFor bounds asking the host that counts the requests for an upstream: some round trips between hosts.
	permitFor = 100 * time.Millisecond
	// uncounted is how long an upstream that names a limit is left to others where nobody could be asked.
	uncounted = 500 * time.Millisecond
)

// plain returns the best of the upstreams that take no orders. One that names a limit is asked for only where that leaves room.
func (x *Direct) plain(ctx context.Context, j *job, all []target.Target) (target.Target, int, *refuse.Refusal) {
	shortest := time.Duration(-1)
	for _, t := range x.Pick.Order(all, time.Now()) {
		err := x.permit(ctx, j, t)
		if err == nil {
			return t, 0, nil
		}
		if wait := want.Wait(err); shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return target.Target{}, 0, refuse.NewRefusal(j.verdict(), refuse.Overloaded, "the upstreams of %s take no more requests for %v", j.group, shortest).
		WithRetry(max(comeBack, shortest))
}

// permit has a request counted at an upstream that names a limit and has no host that gives it orders. Where the limit leaves no room, the error
// is an ErrCrowded with the time until it does.
func (x *Direct) permit(ctx context.Context, j *job, t target.Target) error {
	if !x.Ration.Limited(t.ID) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitFor)
	defer cancel()
	err := x.Permit(ctx, t.ID)
	if err == nil {
		return nil
	}
	if !errors.Is(err, want.ErrCrowded) {
		// Nobody counts at the moment. Sent all the same, the requests of all hosts would add up.
		err = want.NewCrowded(uncounted)
	}
	j.did("over-limit")
	x.Pick.Waits(t.ID, want.Wait(err), time.Now())
	return err
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
