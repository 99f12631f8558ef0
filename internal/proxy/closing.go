package proxy

import (
	"context"

	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

// closing returns the refusal of a request that has not run yet at a host that is about to stop, nil elsewhere. It is to be asked after each wait: sent then, the
// request would be cut off when the host stops, and a booking that was cut off must not be sent again, where another host could have served it.
func (p *Proxy) closing(j *job) *refuse.Refusal {
	if p.Closing.Err() == nil || j.hasRun() {
		return nil
	}
	return refuse.NewRefusal(verd.NotRun, refuse.Leaving, "this host is about to stop").WithRetry(otherHostRetry)
}

// hasRun reports whether a part of the request's work may be lost by refusing it.
func (j *job) hasRun() bool {
	return j.runs > 0 || j.headerSent
}

// awaitPlacement is nextPlacement, but ends the wait of a request that has not run yet when the host is about to stop.
func (p *Proxy) awaitPlacement(ctx context.Context, j *job) (placement, *refuse.Refusal) {
	if j.hasRun() {
		return p.nextPlacement(ctx, j)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(p.Closing, func() { cancel(errHostStopping) })()
	return p.nextPlacement(ctx, j)
}
