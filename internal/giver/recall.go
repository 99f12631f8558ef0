package giver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/memo"
)

// recall takes what was kept of the engine by the host that ordered it before, once for each incarnation.
func (d *desk) recall() {
	if d.recalled {
		return
	}
	d.recalled = true
	ctx, cancel := context.WithTimeout(d.ctx, recallFor)
	defer cancel()
	m, ok := d.g.Recall(ctx, d.id)
	if !ok || m.Born != d.born {
		return
	}
	d.g.Log.Info("use of adapters recalled", zap.String("target", d.id), zap.Int("adapters", len(m.Names)), zap.Duration("event", m.Event))
	d.lane.recall(m.Event)
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, a := range m.Names {
		// Their order is what counts. None of them was in use for as long as nobody has told of it.
		at := now.Add(-d.g.Unused() - time.Duration(i+1)*time.Millisecond)
		d.recent[a] = at
		if _, told := d.used[a]; !told {
			d.used[a] = at
		}
	}
}

// assume takes adapters of which nothing is known as in use now, and all that the engine holds as at hand. One that a request uses
// must not be unloaded: the unload would wait for that request, and the engine take no other one until it has ended.
func (d *desk) assume(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for a := range d.held {
		if _, ok := d.used[a]; !ok {
			d.used[a] = now
		}
		if _, ok := d.recent[a]; !ok {
			d.recent[a] = now
		}
	}
}

// keep brings up to date what is to outlive this host.
func (d *desk) keep(now time.Time) {
	if now.Sub(d.noted) < noteEvery {
		return
	}
	d.noted = now
	d.mu.Lock()
	defer d.mu.Unlock()
	last := make(map[string]time.Time, len(d.recent))
	for a, at := range d.recent {
		last[a] = at
		if used := d.used[a]; used.After(at) {
			last[a] = used
		}
	}
	m := memo.NewMemo(d.born, last).WithEvent(d.event)
	d.memo.Store(&m)
	if len(d.recent) >= mostRecent {
		d.forget(m)
	}
}

// forget drops adapters that were used too long ago to be at hand still. Without it a host that runs for weeks would sort all
// adapters of the site each second, for each engine.
func (d *desk) forget(m memo.Memo) {
	newest := make(map[string]time.Time, len(m.Names))
	for _, a := range m.Names {
		newest[a] = d.recent[a]
	}
	d.recent = newest
}

// names returns the adapters that the engine has at hand, as they were noted last.
func (d *desk) names() []string {
	if m := d.memo.Load(); m != nil && m.Born == d.born {
		return m.Names
	}
	return nil
}

// atHand reports whether the engine need not bring an adapter from the weight store.
func (d *desk) atHand(adapter string) bool {
	_, ok := d.recent[adapter]
	return ok
}
