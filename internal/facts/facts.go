// Package facts keeps what a fleet whose hosts were all killed must know, in rows of the store.
//
// A fact that is not known is never taken for its absence: a host that starts asks the store and other hosts until one of them tells it, and a host that writes
// takes over what it finds and does not know before it removes anything.
package facts

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

const (
	// interval is the time between comparisons of the rows with what this host knows.
	interval = time.Second
	// recheck is the time after which rows are compared again without a change: the store may come back from an older copy.
	recheck = 30 * time.Second
	// callTimeout bounds a call to the store.
	callTimeout = 2 * time.Second
	// maxEdits bounds the rows in one write; a transaction takes a hundred.
	maxEdits = 90
)

// errNotToldYet means that no other host could tell the facts.
var errNotToldYet = merry.Sentinel("facts: no other host tells them")

// Facts may be used from several goroutines once Run has begun. Its exported fields are set before.
type Facts struct {
	Table  table.Table
	Prefix string // of the keys
	// IsWriter reports whether this host writes the rows for all.
	IsWriter func() bool
	// FromPeers returns the rows as another host knows them.
	FromPeers func(ctx context.Context) (list []rows.Row, ok bool)
	// Known returns the rows that there should be, by key.
	Known func() map[string]string
	// Learn takes rows that this host did not know.
	Learn      func(stored map[string]string)
	RetryDelay func() time.Duration
	Log        *zap.Logger

	restored atomic.Bool
	synced   map[string]string // the rows as this host last left them; it belongs to the goroutine of Run
	syncedAt time.Time
}

// Run learns the facts from before this host started and then keeps the rows up to date, while this host writes them for all.
func (f *Facts) Run(ctx context.Context) {
	f.restore(ctx)
	for range ticker.Every(ctx, interval) {
		if !f.IsWriter() || maps.Equal(f.Known(), f.synced) && time.Since(f.syncedAt) < recheck {
			continue
		}
		if err := f.sync(ctx); err != nil {
			f.Log.Info("facts not written", zap.Error(err))
		}
	}
}

// Restored reports whether the facts from before this host started are known.
func (f *Facts) Restored() bool { return f.restored.Load() }

// Rows returns the facts for a host that starts; ok is false where this host does not know them itself.
func (f *Facts) Rows() (list []rows.Row, ok bool) {
	if !f.Restored() {
		return nil, false
	}
	for key, value := range f.Known() {
		list = append(list, rows.Row{Key: key, Value: []byte(value)})
	}
	return list, true
}

// restore asks the store and other hosts at the same time until one of them has told the facts.
func (f *Facts) restore(ctx context.Context) {
	for ctx.Err() == nil {
		stored, err := f.ask(ctx)
		if err == nil {
			f.Learn(stored)
			f.restored.Store(true)
			return
		}
		f.Log.Info("facts from before the start not known yet", zap.Error(err))
		ticker.Sleep(ctx, f.RetryDelay())
	}
}

// ask returns the first answer of the store or of another host.
func (f *Facts) ask(ctx context.Context) (stored map[string]string, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		stored map[string]string
		err    error
	}
	answers := make(chan answer, 2)
	go func() {
		stored, err := f.list(ctx)
		answers <- answer{stored, err}
	}()
	go func() {
		list, ok := f.FromPeers(ctx)
		if !ok {
			answers <- answer{nil, errNotToldYet}
			return
		}
		answers <- answer{byKey(list), nil}
	}()
	first := <-answers
	if first.err == nil {
		return first.stored, nil
	}
	second := <-answers
	return second.stored, second.err
}

// sync makes the rows those that there should be.
func (f *Facts) sync(ctx context.Context) error {
	stored, err := f.list(ctx)
	if err != nil {
		return err
	}
	unknown := maps.Clone(stored)
	maps.DeleteFunc(unknown, func(key, value string) bool { return f.synced[key] == value })
	if len(unknown) > 0 {
		f.Learn(unknown)
	}
	known := f.Known()
	edits := edits(known, stored)
	if len(edits) > 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if _, err := f.Table.Write(ctx, edits[:min(len(edits), maxEdits)]...); err != nil {
			return err
		}
	}
	if len(edits) <= maxEdits {
		f.synced, f.syncedAt = known, time.Now()
	}
	return nil
}

// edits returns what makes stored rows the known ones.
func edits(known, stored map[string]string) (list []rows.Row) {
	for key, value := range known {
		if old, ok := stored[key]; !ok || old != value {
			list = append(list, rows.Row{Key: key, Value: []byte(value), Rev: rows.AnyRev})
		}
	}
	for key := range stored {
		if _, ok := known[key]; !ok {
			list = append(list, rows.Row{Key: key, Gone: true, Rev: rows.AnyRev})
		}
	}
	return list
}

func (f *Facts) list(ctx context.Context) (map[string]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, _, err := f.Table.List(ctx, f.Prefix)
	return byKey(list), err
}

func byKey(list []rows.Row) map[string]string {
	stored := map[string]string{}
	for _, row := range list {
		stored[row.Key] = string(row.Value)
	}
	return stored
}
