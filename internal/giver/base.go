package giver

import (
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/model"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
)

// ensureModel has the base model loaded; it reports false while there is none.
func (d *desk) ensureModel(t target.Target) bool {
	models := d.pool(t).Models
	if len(d.models) > 0 || len(models) == 0 {
		return len(models) > 0
	}
	if time.Now().Before(d.model) || !d.known {
		return false
	}
	m := models[0]
	order := change.Change{Load: true, Model: m.Name}
	d.model = time.Now().Add(again)
	e := effect.Unknown
	switch {
	case !d.modelAt.IsZero():
		e = d.look(t, order)
		d.model = time.Now().Add(10 * again)
	case t.AtHand(m.Name) || d.g.beginModel(d.pool(t).LoadRate):
		d.counted = !t.AtHand(m.Name)
		d.modelAt = time.Now()
		e = d.give(t, order)
		if e != effect.Accepted && e != effect.Done {
			d.endModel(m, false)
		}
	}
	if e != effect.Done {
		return false
	}
	d.models[m.Name] = true
	d.endModel(m, true)
	return true
}

// endModel ends the load of a base model under way.
func (d *desk) endModel(m model.Model, done bool) {
	if d.modelAt.IsZero() {
		return
	}
	took := time.Since(d.modelAt)
	d.g.Log.Info("base model load ended", zap.String("target", d.id), zap.String("model", m.Name), zap.Bool("done", done),
		zap.Bool("counted", d.counted), zap.Duration("took", took))
	d.g.Stats.Time(stats.Loads, took, "from", "model")
	d.modelAt = time.Time{}
	if !d.counted {
		return
	}
	if !done {
		took = 0
	}
	d.g.endModel(took, m)
}
