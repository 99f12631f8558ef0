package loader

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
)

// repeatOrder sends the order of a load in progress again: the engine reports it as done, or accepts it again without counting
// it.
func (d *driver) repeatOrder(t target.Target, c change.Change) effect.Effect {
	before := d.sequence
	e := d.sendOrder(t, c)
	if e == effect.Accepted {
		d.sequence = before
	}
	return e
}

// issueOrder sends an order that changes something and logs it.
func (d *driver) issueOrder(t target.Target, c change.Change) effect.Effect {
	sequence := d.sequence
	e := d.sendOrder(t, c)
	operation := "unload"
	if c.Load {
		operation = "load"
	}
	d.loader.Stats.Add(stats.Orders, 1, "operation", operation, "effect", e.String())
	d.loader.Log.Info("order sent", zap.String("target", d.id), zap.String("operation", operation), zap.String("adapter", orderedName(c)),
		zap.Int("version", c.Version), zap.Int64("sequence", sequence), zap.Stringer("effect", e))
	return e
}

// sendOrder sends one order and updates the known state by its effect.
func (d *driver) sendOrder(t target.Target, c change.Change) effect.Effect {
	fence, ok := d.loader.Fence(d.id)
	if !ok {
		return effect.Rejected
	}
	c.Target, c.Sequence, c.Owner, c.Fence = t, d.sequence, d.loader.Owner, fence
	e, err := d.sendOnce(c)
	if e == effect.Unknown {
		d.loader.Log.Info("order unanswered", zap.String("target", d.id), zap.Bool("load", c.Load), zap.String("adapter", orderedName(c)),
			zap.Int64("sequence", c.Sequence), zap.Int64("fence", fence), zap.Error(err))
		// The engine accepts only one of two orders with the same sequence number, whichever arrives first.
		e, err = d.sendOnce(c)
	}
	switch e {
	case effect.Accepted:
		d.sequence++
	case effect.Done:
	default:
		d.known = false
		d.reportedAt = time.Now()
	}
	if err != nil {
		d.loader.Log.Info("order failed", zap.String("target", d.id), zap.String("adapter", orderedName(c)), zap.Int64("sequence", c.Sequence),
			zap.Int64("fence", fence), zap.Stringer("effect", e), zap.Error(err))
	}
	return e
}

func (d *driver) sendOnce(c change.Change) (effect.Effect, error) {
	ctx, cancel := context.WithTimeout(d.ctx, orderTimeout)
	defer cancel()
	return d.loader.SendOrder(ctx, c)
}

// orderedName returns the adapter of an order as it is logged: "model/adapter", or the model alone.
func orderedName(c change.Change) string {
	if c.Adapter == "" {
		return c.Model
	}
	return c.Model + "/" + c.Adapter
}

// splitAdapter splits "model/adapter".
func splitAdapter(adapter string) (model, short string) {
	model, short, _ = strings.Cut(adapter, "/")
	return model, short
}
