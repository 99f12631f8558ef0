package home

import (
	"context"
	"time"

	"damaskreach/internal/loop"
)

const (
	twinWait  = 500 * time.Millisecond // below askTimeout, or the asker would decide itself
	twinRetry = time.Second
	twinLook  = 20 * time.Millisecond
)

// awaitTwin waits a little while the same request is in flight on a runner where this one has failed, and reports
// whether it still is; see place.Failing.
func (h *Home) awaitTwin(ctx context.Context, q placeAsk) bool {
	if len(q.Avoid) == 0 {
		return false
	}
	for range twinWait / twinLook {
		failing, err := loop.Get(ctx, h.Loop, func() bool { return h.Place.CopyInFlight(q.Call, q.Avoid) })
		if err != nil || !failing {
			return false
		}
		select {
		case <-time.After(twinLook):
		case <-ctx.Done():
			return true
		}
	}
	return true
}
