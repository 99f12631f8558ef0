package intake

import (
	"context"
	"time"

	"damaskreach/internal/rows"
	"damaskreach/internal/target"
)

const (
	// firstRows is how many registrations a host reads from the store at its start before it asks others for all.
	firstRows = 128
	// othersEvery is the pause before others are asked again.
	othersEvery = 150 * time.Millisecond
)

// first reads the registrations for the first time. Where there are many, other hosts are asked for them: hundreds of hosts that start
// at once would else have the store send its whole list to each, over links that take seconds for it.
func (i *Intake) first(ctx context.Context) (r reading) {
	begun := time.Now()
	var more bool
	callCtx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	r.list, r.rev, more, r.err = i.Table.First(callCtx, i.Targets, firstRows)
	if r.err == nil && !more {
		return reading{list: r.list, rev: r.rev}
	}
	i.away.Store(r.err != nil)
	took := time.Since(begun)
	left := func() time.Duration { return i.Patience() - took }
	if list, rev, ok := i.askOthers(ctx, i.Targets, othersEvery, left); ok {
		return reading{list: list, rev: rev, heard: true}
	}
	return reading{whole: true, err: r.err}
}

// Registrations returns all registrations that this host knows, and up to which revision; 0 where it knows none yet.
func (i *Intake) Registrations() (list []rows.Row, rev int64) {
	i.rawMu.Lock()
	defer i.rawMu.Unlock()
	for _, row := range i.raw {
		list = append(list, row)
	}
	return list, i.targetAt.Load()
}

func (i *Intake) keepRaw(id string, row rows.Row) {
	i.rawMu.Lock()
	defer i.rawMu.Unlock()
	i.raw[id] = row
}

// rawOf returns the last registration of an upstream as it was read.
func (i *Intake) rawOf(id string) []byte {
	i.rawMu.Lock()
	defer i.rawMu.Unlock()
	return i.raw[id].Value
}

// dropRaw drops the registrations of upstreams that are gone.
func (i *Intake) dropRaw(targets map[string]target.Target) {
	i.rawMu.Lock()
	defer i.rawMu.Unlock()
	for id := range i.raw {
		if _, ok := targets[id]; !ok {
			delete(i.raw, id)
		}
	}
}
