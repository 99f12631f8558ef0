package loader

import (
	"context"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/intent"
	"damaskreach/internal/target"
)

// Admit blocks until the engine holds the adapter and the prompt may be sent, or returns why it may not.
func (l *Loader) Admit(ctx context.Context, w intent.Intent) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if t, ok := l.View().Targets[w.EngineID]; ok && l.isDraining(t) {
		return merry.Wrap(intent.ErrDraining)
	}
	d := l.driver(w.EngineID)
	if d == nil && w.Loaded {
		return l.admitHeld(ctx, w)
	}
	if d == nil {
		return merry.Wrap(intent.ErrNotOwner)
	}
	waiting := newWaiter(ctx, w)
	if d.holds(w) {
		d.prompts.add(waiting)
	} else if w.MaxLoadWait > 0 && d.loadWait() > w.MaxLoadWait || !d.enqueue(waiting) {
		return merry.Wrap(intent.ErrLoadQueueFull)
	}
	return waiting.wait(ctx, d.ctx)
}

// isDraining reports whether an engine is draining, as registered or as announced to this host.
func (l *Loader) isDraining(t target.Target) bool {
	return t.Draining || l.DrainAnnounced(t)
}

// admitHeld waits for a turn at an engine that holds the adapter but is managed by another host or by none. Only one host grants
// turns for such an engine: several hosts that count separately would overload it.
func (l *Loader) admitHeld(ctx context.Context, w intent.Intent) error {
	v := l.View()
	t, ok := v.Targets[w.EngineID]
	q := l.queue(w.EngineID)
	if !ok || q == nil {
		return merry.Wrap(intent.ErrNotOwner)
	}
	q.setSlots(v.Rules.Pools[t.Group].Slots)
	waiting := newWaiter(ctx, w)
	q.add(waiting)
	return waiting.wait(ctx, q.ctx)
}
