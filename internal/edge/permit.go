package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/ruling"
	"damaskreach/internal/want"
)

// tellLimitTimeout bounds reporting the end of an upstream's limit.
const tellLimitTimeout = time.Second

// permit asks the host that counts the requests for an upstream to count one. That host may know that the limit has ended.
func (e *Edge) permit(ctx context.Context, w want.Want) error {
	r, err := e.askCounter(ctx, w)
	switch {
	case err != nil:
		return err
	case !r.Counts:
		e.ration.Told(w.ID, 0, 0)
		e.flight.Told(e.intake.View().Targets[w.ID], 0, 0)
	case r.Units == 0:
		return want.NewCrowded(r.Wait)
	}
	return nil
}

// tellLimit tells the host that counts the requests for an upstream what this host knows of its limit: hosts that still consider it limited
// learn from there that it is not.
func (e *Edge) tellLimit(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), tellLimitTimeout)
	defer cancel()
	if _, err := e.askCounter(ctx, want.Want{ID: id, Spread: true}); err != nil {
		e.Log.Info("failed to report upstream's limit", zap.String("target", id), zap.Error(err))
	}
}

// askCounter asks the host that counts the requests for an upstream.
func (e *Edge) askCounter(ctx context.Context, w want.Want) (r ruling.Ruling, err error) {
	w.Host = e.Setup().IP
	w = e.withLimit(w)
	counter := e.countingHost(w.ID)
	if counter == w.Host {
		return e.countHere(w), nil
	}
	mesh := e.mesh.Load()
	if mesh == nil {
		return ruling.Ruling{}, want.ErrElsewhere
	}
	err = mesh.Ask(ctx, e.tenure.Host(counter).Peers, methodPermit, w, &r)
	return r, err
}

// countHere counts a request for an upstream on this host if one is to be sent, by the newest limit that any host knows.
func (e *Edge) countHere(w want.Want) ruling.Ruling {
	e.applyLimit(w)
	t, known := e.intake.View().Targets[w.ID]
	if w.Spread || !known || !e.ration.Limited(w.ID) && !e.flight.Brittle(t) {
		return ruling.Ruling{}
	}
	if wait := e.flight.Take(t, w.Turn, w.Limit); wait > 0 {
		return ruling.Ruling{Counts: true, Wait: wait}
	}
	if wait := e.ration.Take(w.ID); wait > 0 {
		e.flight.Ended(w.ID, w.Turn, false)
		return ruling.Ruling{Counts: true, Wait: wait}
	}
	return ruling.Ruling{Counts: true, Units: 1}
}

// withLimit adds what this host knows of the upstream's limit, and of whether it is brittle.
func (e *Edge) withLimit(w want.Want) want.Want {
	rate, age, ok := e.ration.Newest(w.ID)
	if ok {
		w.Rate, w.RateAge, w.Rated = rate, age, true
	}
	w.Away, w.AwayAge, w.Frail = e.flight.Newest(e.intake.View().Targets[w.ID])
	return w
}

// applyLimit applies what another host knows of the same.
func (e *Edge) applyLimit(w want.Want) {
	if w.Rated {
		e.ration.Told(w.ID, w.Rate, w.RateAge)
	}
	if w.Frail {
		e.flight.Told(e.intake.View().Targets[w.ID], w.Away, w.AwayAge)
	}
}
