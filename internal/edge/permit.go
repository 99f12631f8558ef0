package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/intent"
	"damaskreach/internal/ruling"
)

// reportLimitTimeout bounds reporting the end of an upstream's limit.
const reportLimitTimeout = time.Second

// permit asks the host that counts the requests for an upstream to count one. That host may know that the limit has ended.
func (e *Edge) permit(ctx context.Context, w intent.Intent) error {
	r, err := e.askCounter(ctx, w)
	switch {
	case err != nil:
		return err
	case !r.Counted:
		e.ration.Update(w.EngineID, 0, 0)
		e.flight.Update(e.intake.View().Targets[w.EngineID], 0, 0)
	case r.Units == 0:
		return intent.NewPromptQueueFull(r.Wait)
	}
	return nil
}

// reportLimit reports what this host knows of an upstream's limit to the host that counts its requests: hosts that still consider it
// limited learn from there that it is not.
func (e *Edge) reportLimit(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), reportLimitTimeout)
	defer cancel()
	if _, err := e.askCounter(ctx, intent.Intent{EngineID: id, Background: true}); err != nil {
		e.Log.Info("failed to report upstream's limit", zap.String("target", id), zap.Error(err))
	}
}

// askCounter asks the host that counts the requests for an upstream.
func (e *Edge) askCounter(ctx context.Context, w intent.Intent) (r ruling.Ruling, err error) {
	w.Requester = e.Setup().IP
	w = e.withLimit(w)
	counter := e.countingHost(w.EngineID)
	if counter == w.Requester {
		return e.countHere(w), nil
	}
	mesh := e.mesh.Load()
	if mesh == nil {
		return ruling.Ruling{}, intent.ErrNotOwner
	}
	err = mesh.Ask(ctx, e.tenure.Host(counter).PeerAddr, methodPermit, w, &r)
	return r, err
}

// countHere counts a request for an upstream on this host if one is to be sent, by the newest limit that any host knows.
func (e *Edge) countHere(w intent.Intent) ruling.Ruling {
	e.applyLimit(w)
	t, known := e.intake.View().Targets[w.EngineID]
	if w.Background || !known || !e.ration.Limited(w.EngineID) && !e.flight.Brittle(t) {
		return ruling.Ruling{}
	}
	if wait := e.flight.Acquire(t, w.Turn, w.MaxLoadWait); wait > 0 {
		return ruling.Ruling{Counted: true, Wait: wait}
	}
	if wait := e.ration.Take(w.EngineID); wait > 0 {
		e.flight.Release(w.EngineID, w.Turn, false)
		return ruling.Ruling{Counted: true, Wait: wait}
	}
	return ruling.Ruling{Counted: true, Units: 1}
}

// withLimit adds what this host knows of the upstream's limit, and of whether it is brittle.
func (e *Edge) withLimit(w intent.Intent) intent.Intent {
	rate, age, ok := e.ration.Latest(w.EngineID)
	if ok {
		w.RateLimit, w.RateLimitAge, w.HasRateLimit = rate, age, true
	}
	w.RejectLimit, w.RejectLimitAge, w.HasRejectLimit = e.flight.Latest(e.intake.View().Targets[w.EngineID])
	return w
}

// applyLimit applies what another host knows of the same.
func (e *Edge) applyLimit(w intent.Intent) {
	if w.HasRateLimit {
		e.ration.Update(w.EngineID, w.RateLimit, w.RateLimitAge)
	}
	if w.HasRejectLimit {
		e.flight.Update(e.intake.View().Targets[w.EngineID], w.RejectLimit, w.RejectLimitAge)
	}
}
