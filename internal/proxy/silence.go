package proxy

import (
	"context"
	"maps"
	"time"

	"damaskreach/internal/mover"
	"damaskreach/internal/resp"
	"damaskreach/internal/target"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	// silenceGaps is for how many of a route's longest pauses a stream may be silent before another engine is looked for, and minSilence the
	// least time for that. Engines pause for other long prompts; after so many pauses the connection may be lost or the engine dead.
	silenceGaps = 4
	minSilence  = 1200 * time.Millisecond
	// placementInterval is the pause between two attempts to find an engine.
	placementInterval = 250 * time.Millisecond
)

// placement is where a request is sent next.
type placement struct {
	target  target.Target
	version int // of the adapter that the target must have; 0 for any
	turn    turn
}

// watchSilence returns a mover for a stream from t.
func (p *Proxy) watchSilence(ctx context.Context, j *job, t target.Target, r resp.Resp) *mover.Mover[placement] {
	m := &mover.Mover[placement]{MaxSilence: max(minSilence, silenceGaps*j.route.Gap), Interval: placementInterval, Cut: r.Cut}
	if !p.movable(j) {
		return m
	}
	template := *j
	template.w, template.tried, template.turn = nil, maps.Clone(j.tried), turn{}
	template.recordFailure(t.ID, refuse.NewRefusal(verd.MayHaveRun, refuse.Cut, "%s paused for too long", t.ID))
	m.Find = func(ctx context.Context) (placement, bool) {
		if !p.Spare.CanRetry(template.group) {
			return placement{}, false
		}
		attempt := template
		attempt.tried = maps.Clone(template.tried)
		if m.HasBegun() {
			attempt.begun, attempt.build = true, t.Build
		}
		next, refusal := p.findPlacement(ctx, &attempt)
		if refusal != nil || ctx.Err() != nil {
			p.releaseTurn(&attempt.turn, false)
			return placement{}, false
		}
		return next, true
	}
	m.Release = func(unused placement) { p.releaseTurn(&unused.turn, false) }
	m.Start(ctx)
	return m
}

// movable reports whether a stream in progress may continue at another engine.
func (p *Proxy) movable(j *job) bool {
	return j.mayRunAgain() && j.sends < maxSends && p.Guard.Blocked(j.suspect(), time.Now()) == ""
}
