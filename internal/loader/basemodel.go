package loader

import (
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/change"
	"damaskreach/internal/effect"
	"damaskreach/internal/model"
	"damaskreach/internal/stats"
	"damaskreach/internal/target"
)

// ensureModel loads the base model if needed and reports whether the engine holds one.
func (d *driver) ensureModel(t target.Target) bool {
	models := d.pool(t).Models
	if len(d.models) > 0 || len(models) == 0 {
		return len(models) > 0
	}
	if time.Now().Before(d.modelPollAt) || !d.known {
		return false
	}
	m := models[0]
	order := change.Change{Load: true, Model: m.Name}
	d.modelPollAt = time.Now().Add(pollInterval)
	e := effect.Unknown
	switch {
	case !d.modelLoadStart.IsZero():
		e = d.repeatOrder(t, order)
		d.modelPollAt = time.Now().Add(10 * pollInterval)
	case t.HasWeights(m.Name) || d.loader.beginModelLoad(d.pool(t).LoadRate):
		d.modelFromStore = !t.HasWeights(m.Name)
		d.modelLoadStart = time.Now()
		e = d.issueOrder(t, order)
		if e != effect.Accepted && e != effect.Done {
			d.endModelLoad(m, false)
		}
	}
	if e != effect.Done {
		return false
	}
	d.models[m.Name] = true
	d.endModelLoad(m, true)
	return true
}

// endModelLoad records the end of the base model load in progress, if any.
func (d *driver) endModelLoad(m model.Model, done bool) {
	if d.modelLoadStart.IsZero() {
		return
	}
	took := time.Since(d.modelLoadStart)
	d.loader.Log.Info("base model load ended", zap.String("target", d.id), zap.String("model", m.Name), zap.Bool("done", done),
		zap.Bool("counted", d.modelFromStore), zap.Duration("took", took))
	d.loader.Stats.Time(stats.Loads, took, "from", "model")
	d.modelLoadStart = time.Time{}
	if !d.modelFromStore {
		return
	}
	if !done {
		took = 0
	}
	d.loader.endModelLoad(took, m)
}
