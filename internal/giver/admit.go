package giver

import (
	"context"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/target"
	"damaskreach/internal/want"
)

// Admit returns once the engine holds the adapter and may be sent the prompt, or why it will not.
func (g *Giver) Admit(ctx context.Context, w want.Want) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if t, ok := g.View().Targets[w.ID]; ok && g.leaves(t) {
		return merry.Wrap(want.ErrLeaves)
	}
	d := g.desk(w.ID)
	if d == nil && w.Held {
		return g.turn(ctx, w)
	}
	if d == nil {
		return merry.Wrap(want.ErrElsewhere)
	}
	waiting := newWaiter(ctx, w)
	if d.serves(w) {
		d.lane.add(waiting)
	} else if w.Limit > 0 && d.loadWait() > w.Limit || !d.ask(waiting) {
		return merry.Wrap(want.ErrBusy)
	}
	return waiting.wait(ctx, d.ctx)
}

// leaves reports whether an engine has begun to leave, as it registered or told this host.
func (g *Giver) leaves(t target.Target) bool {
	return t.Draining || g.Leaves(t)
}

// turn returns once a prompt may be sent to an engine that holds what is asked for and that this host does not order: where no host does, one
// grants the turns alone, since hosts that each count for themselves would overfill it.
func (g *Giver) turn(ctx context.Context, w want.Want) error {
	v := g.View()
	t, ok := v.Targets[w.ID]
	l := g.lane(w.ID)
	if !ok || l == nil {
		return merry.Wrap(want.ErrElsewhere)
	}
	l.resize(v.Rules.Pools[t.Group].Slots)
	waiting := newWaiter(ctx, w)
	l.add(waiting)
	return waiting.wait(ctx, l.ctx)
}
