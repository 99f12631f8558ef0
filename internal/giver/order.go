package giver

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

// look repeats the order of a load under way: the engine answers that it holds, or accepts the order again without
// counting it.
func (d *desk) look(t target.Target, c change.Change) effect.Effect {
	before := d.sequence
	e := d.order(t, c)
	if e == effect.Accepted {
		d.sequence = before
	}
	return e
}

// give gives an order that changes something, and says so.
func (d *desk) give(t target.Target, c change.Change) effect.Effect {
	sequence := d.sequence
	e := d.order(t, c)
	operation := "unload"
	if c.Load {
		operation = "load"
	}
	d.g.Stats.Add(stats.Orders, 1, "operation", operation, "effect", e.String())
	d.g.Log.Info("order given", zap.String("target", d.id), zap.String("operation", operation), zap.String("adapter", full(c)),
		zap.Int("version", c.Version), zap.Int64("sequence", sequence), zap.Stringer("effect", e))
	return e
}

// order gives one order and takes its effect into account.
func (d *desk) order(t target.Target, c change.Change) effect.Effect {
	fence, ok := d.g.Fence(d.id)
	if !ok {
		return effect.Rejected
	}
	c.Target, c.Sequence, c.Holder, c.Fence = t, d.sequence, d.g.Holder, fence
	e, err := d.once(c)
	if e == effect.Unknown {
		d.g.Log.Info("order unanswered", zap.String("target", d.id), zap.Bool("load", c.Load), zap.String("adapter", full(c)),
			zap.Int64("sequence", c.Sequence), zap.Int64("fence", fence), zap.Error(err))
		// With the same count the engine takes only one of the two, whenever the first one arrives.
		e, err = d.once(c)
	}
	switch e {
	case effect.Accepted:
		d.sequence++
	case effect.Done:
	default:
		d.known = false
		d.asked = time.Now()
	}
	if err != nil {
		d.g.Log.Info("order failed", zap.String("target", d.id), zap.String("adapter", full(c)), zap.Int64("sequence", c.Sequence),
			zap.Int64("fence", fence), zap.Stringer("effect", e), zap.Error(err))
	}
	return e
}

func (d *desk) once(c change.Change) (effect.Effect, error) {
	ctx, cancel := context.WithTimeout(d.ctx, giveFor)
	defer cancel()
	return d.g.Give(ctx, c)
}

// full returns the name that lines give the adapter of an order: "model/adapter", or the model alone.
func full(c change.Change) string {
	if c.Adapter == "" {
		return c.Model
	}
	return c.Model + "/" + c.Adapter
}

// name splits "model/adapter".
func name(adapter string) (model, short string) {
	model, short, _ = strings.Cut(adapter, "/")
	return model, short
}
