package ledger

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/event"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

const (
	writeTimeout = 5 * time.Second
	mostDeleted  = 4 // old rows deleted with one write
)

var errFull = merry.New("ledger: the keeper holds too many events that are not written")

// keep gathers events as keeper and returns once they are written.
func (l *Ledger) keep(ctx context.Context, q keepAsk) error {
	done := make(chan error, 1)
	l.mu.Lock()
	if len(l.gathered)+len(q.Events) > 2*mostHeld {
		l.mu.Unlock()
		return errFull
	}
	if len(l.gathered) == 0 {
		l.since = time.Now()
	}
	l.gathered = append(l.gathered, q.Events...)
	l.waiting = append(l.waiting, done)
	l.urgent = l.urgent || q.Urgent
	l.mu.Unlock()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// write writes what was gathered, window by window, until ctx ends.
func (l *Ledger) write(ctx context.Context) {
	for range ticker.Every(ctx, tick/4) {
		if events, waiting := l.due(time.Now()); len(events) > 0 {
			err := l.writeRow(ctx, events)
			for _, done := range waiting {
				done <- err
			}
		}
	}
}

func (l *Ledger) due(now time.Time) ([]event.Event, []chan error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.gathered) == 0 || now.Sub(l.written) < least {
		return nil, nil
	}
	if !l.urgent && now.Sub(l.since) < window && len(l.gathered) < mostSent {
		return nil, nil
	}
	events, waiting := l.gathered, l.waiting
	l.gathered, l.waiting, l.urgent, l.written = nil, nil, false, now
	return events, waiting
}

// writeRow writes one row and deletes old ones. A key is never used twice, so two keepers at once do not conflict, and a
// conflict over the new key means that an earlier try, whose answer was lost, took effect.
func (l *Ledger) writeRow(ctx context.Context, events []event.Event) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, err := encode(events)
	if err != nil {
		return err
	}
	row := rows.Row{Key: key(l.Site, time.Now()), Value: value}
	deletions := l.deletions(ctx, time.Now())
	_, err = l.Table.Write(ctx, append([]rows.Row{row}, deletions...)...)
	if errors.Is(err, table.ErrConflict) && !slices.Contains(table.Conflicts(err), row.Key) {
		// Another keeper has deleted them.
		_, err = l.Table.Write(ctx, row)
	}
	if errors.Is(err, table.ErrLost) {
		_, err = l.Table.Write(ctx, row)
	}
	if errors.Is(err, table.ErrConflict) {
		err = nil
	}
	if err != nil {
		l.Log.Warn("writing decisions failed", zap.Int("count", len(events)), zap.Error(err))
		return merry.Prepend(err, "writing decisions")
	}
	l.stale = l.stale[len(deletions):]
	return nil
}

// deletions returns edits that delete a few rows whose life is over. Rows are looked for hour by hour, one reading a write at
// the most, so that a new keeper need not list everything that is kept.
func (l *Ledger) deletions(ctx context.Context, now time.Time) []rows.Row {
	if len(l.stale) == 0 {
		l.lookFor(ctx, now)
	}
	return l.stale[:min(mostDeleted, len(l.stale))]
}

func (l *Ledger) lookFor(ctx context.Context, now time.Time) {
	if first := now.Add(-lookBack).Truncate(time.Hour); l.cursor.Before(first) {
		l.cursor = first
	}
	if l.cursor.After(now.Add(-life - time.Hour)) {
		return
	}
	found, _, err := l.Table.List(ctx, hour(l.Site, l.cursor))
	if err != nil {
		return // a later write looks again
	}
	l.cursor = l.cursor.Add(time.Hour)
	for _, row := range found {
		l.stale = append(l.stale, row.WithGone())
	}
}

// hour returns the prefix of the rows written in an hour.
func hour(site string, t time.Time) string {
	return table.PrefixWhy + site + "/" + t.UTC().Format("2006010215") + "/"
}

// key sorts by time and begins with the hour, so that a reader can ask for the rows of some hours.
func key(site string, now time.Time) string {
	return fmt.Sprintf("%s%020d-%s", hour(site, now), now.UnixNano(), rand.Text()[:6])
}
