package intake

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/view"
)

// Overtaken returns the versions of adapters in force that are newer than what the store's rows say, by adapter: a lost write of an older version
// may be carried out late, and hosts that start would take that one for the newest.
func (i *Intake) Overtaken() map[string]int {
	i.operatorsMu.Lock()
	defer i.operatorsMu.Unlock()
	return maps.Clone(i.overtaken)
}

// LearnVersion applies a version of an adapter that was in force before this host started, and that the store's row may not say.
func (i *Intake) LearnVersion(adapter string, version int) {
	i.operatorsMu.Lock()
	defer i.operatorsMu.Unlock()
	if version < i.View().Versions[adapter] {
		return
	}
	i.overtaken[adapter] = version
	i.updateView(func(v view.View) view.View { return v.WithVersion(adapter, version, time.Time{}) })
}

// compareStored records whether a row of the store names an older version of an adapter than the one in force.
func (i *Intake) compareStored(row rows.Row) {
	if row.Gone {
		return
	}
	adapter, version, ok, err := i.Version(row)
	if err != nil || !ok {
		return // reported where the row is applied
	}
	i.operatorsMu.Lock()
	defer i.operatorsMu.Unlock()
	known := i.View().Versions[adapter]
	if version >= known {
		delete(i.overtaken, adapter)
		return
	}
	i.overtaken[adapter] = known
	i.Log.Warn("the store has an older version of an adapter than the one in force", zap.String("adapter", adapter), zap.Int("stored", version),
		zap.Int("version", known), zap.Int64("revision", row.Rev))
}
