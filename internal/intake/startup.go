package intake

import (
	"context"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/target"
)

const (
	// maxFirstRows is how many registrations a starting host reads from the store before it asks other hosts for all of them.
	maxFirstRows = 128
	// listRetryInterval is the pause before other hosts are asked again.
	listRetryInterval = 150 * time.Millisecond
)

// readFirst reads the registrations for the first time. A long list is fetched from other hosts: hundreds of hosts that start at once
// would each have the store send its whole list, over links that take seconds for it.
func (i *Intake) readFirst(ctx context.Context) (r reading) {
	begun := time.Now()
	var more bool
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.list, r.rev, more, r.err = i.Table.First(callCtx, i.Targets, maxFirstRows)
	if r.err == nil && !more {
		return reading{list: r.list, rev: r.rev}
	}
	i.storeDown.Store(r.err != nil)
	took := time.Since(begun)
	left := func() time.Duration { return i.ListDelay() - took }
	if list, rev, ok := i.fetchFromHosts(ctx, i.Targets, listRetryInterval, left); ok {
		return reading{list: list, rev: rev, fromHost: true}
	}
	return reading{whole: true, err: r.err}
}

// Registrations returns all registrations that this host knows, and their revision; 0 where it knows none yet.
func (i *Intake) Registrations() (list []rows.Row, rev int64) {
	i.rawMu.Lock()
	defer i.rawMu.Unlock()
	for _, row := range i.raw {
		list = append(list, row)
	}
	return list, i.targetAt.Load()
}

func (i *Intake) storeRaw(id string, row rows.Row) {
	i.rawMu.Lock()
	defer i.rawMu.Unlock()
	i.raw[id] = row
}

// rawValue returns the last registration of an upstream, undecoded.
func (i *Intake) rawValue(id string) []byte {
	i.rawMu.Lock()
	defer i.rawMu.Unlock()
	return i.raw[id].Value
}

// pruneRaw drops the registrations of upstreams that are not among targets.
func (i *Intake) pruneRaw(targets map[string]target.Target) {
	i.rawMu.Lock()
	defer i.rawMu.Unlock()
	for id := range i.raw {
		if _, ok := targets[id]; !ok {
			delete(i.raw, id)
		}
	}
}
