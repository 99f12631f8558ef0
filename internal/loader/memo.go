package loader

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/memo"
)

// restoreMemo restores what the previous host stored of the engine, once per incarnation.
func (d *driver) restoreMemo() {
	if d.memoFetched {
		return
	}
	d.memoFetched = true
	ctx, cancel := context.WithTimeout(d.ctx, memoTimeout)
	defer cancel()
	m, ok := d.loader.FetchMemo(ctx, d.id)
	if !ok || m.Incarnation != d.born {
		return
	}
	d.loader.Log.Info("use of adapters recalled", zap.String("target", d.id), zap.Int("adapters", len(m.Names)), zap.Duration("event", m.EventInterval))
	d.prompts.restoreEventInterval(m.EventInterval)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, a := range m.Names {
		// Only their order counts: none has been used for as long as no use was reported.
		usedAt := now.Add(-d.loader.UnusedAfter() - time.Duration(i+1)*time.Millisecond)
		d.cachedAt[a] = usedAt
		if _, known := d.lastUsed[a]; !known {
			d.lastUsed[a] = usedAt
		}
	}
}

// assumeUsed marks adapters of unknown use as used now, and all that the engine holds as cached. Unloading an adapter in use would
// block all other unloads until its requests end.
func (d *driver) assumeUsed(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a := range d.held {
		if _, ok := d.lastUsed[a]; !ok {
			d.lastUsed[a] = now
		}
		if _, ok := d.cachedAt[a]; !ok {
			d.cachedAt[a] = now
		}
	}
}

// updateMemo updates the state that is to survive this host.
func (d *driver) updateMemo(now time.Time) {
	if now.Sub(d.memoUpdated) < memoInterval {
		return
	}
	d.memoUpdated = now
	d.mu.Lock()
	defer d.mu.Unlock()
	last := make(map[string]time.Time, len(d.cachedAt))
	for a, at := range d.cachedAt {
		last[a] = at
		if used := d.lastUsed[a]; used.After(at) {
			last[a] = used
		}
	}
	m := memo.NewMemo(d.born, last).WithEventInterval(d.eventInterval)
	d.memo.Store(&m)
	if len(d.cachedAt) >= maxCached {
		d.trimCached(m)
	}
}

// trimCached drops adapters that were used too long ago to be still cached. Otherwise a host that runs for weeks would sort all
// adapters of the site each second, for each engine.
func (d *driver) trimCached(m memo.Memo) {
	newest := make(map[string]time.Time, len(m.Names))
	for _, a := range m.Names {
		newest[a] = d.cachedAt[a]
	}
	d.cachedAt = newest
}

// cachedNames returns the adapters that the engine has cached, as of the last memo.
func (d *driver) cachedNames() []string {
	if m := d.memo.Load(); m != nil && m.Incarnation == d.born {
		return m.Names
	}
	return nil
}

// isCached reports whether the engine can load an adapter without the weight store.
func (d *driver) isCached(adapter string) bool {
	_, ok := d.cachedAt[adapter]
	return ok
}
