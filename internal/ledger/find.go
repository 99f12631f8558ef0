package ledger

import (
	"context"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/s2"
	"github.com/vmihailenco/msgpack/v5"

	"damaskreach/internal/event"
	"damaskreach/internal/query"
)

// mostValue bounds a row's events before compression, in bytes.
const mostValue = 8 << 20

// Own returns what this node holds or gathers and has not written yet.
func (l *Ledger) Own(q query.Query) []event.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return matching(q, slices.Concat(l.held, l.flying, l.gathered))
}

// Find returns the kept events of the site that a query matches, oldest first, those included that this node holds or
// gathers and that are not yet written. It reads hour by hour, newest first, until it has as many as are asked for.
func (l *Ledger) Find(ctx context.Context, q query.Query) ([]event.Event, error) {
	found := l.Own(q)
	now := time.Now()
	until := now
	if !q.Until.IsZero() && q.Until.Before(now) {
		until = q.Until.Add(time.Hour) // events are written later than they happen
	}
	first := now.Add(-life - time.Hour)
	if q.Since.After(first) {
		first = q.Since
	}
	for at := until; !at.Before(first.Truncate(time.Hour)) && (q.Most == 0 || len(found) < q.Most); at = at.Add(-time.Hour) {
		events, err := l.read(ctx, hour(l.Site, at))
		found = append(found, matching(q, events)...)
		if err != nil {
			return q.Newest(event.Merge(found)), err
		}
	}
	return q.Newest(event.Merge(found)), nil
}

func (l *Ledger) read(ctx context.Context, prefix string) ([]event.Event, error) {
	listed, _, err := l.Table.List(ctx, prefix)
	if err != nil {
		return nil, merry.Prepend(err, "listing kept decisions")
	}
	var all []event.Event
	for _, row := range listed {
		events, err := decode(row.Value)
		if err != nil {
			return all, merry.Prependf(err, "reading %s", row.Key)
		}
		all = append(all, events...)
	}
	return all, nil
}

func matching(q query.Query, events []event.Event) []event.Event {
	var found []event.Event
	for _, e := range events {
		if q.Match(e) {
			found = append(found, e)
		}
	}
	return found
}

func encode(events []event.Event) ([]byte, error) {
	data, err := msgpack.Marshal(events)
	if err != nil {
		return nil, merry.Prepend(err, "encoding decisions")
	}
	return s2.EncodeBetter(nil, data), nil
}

// decode reads the value of a row. The decoder panics on a nil in the place of a time; without the recovery a damaged row
// would end every node that is asked for an explanation.
func decode(value []byte) (events []event.Event, err error) {
	defer func() {
		if r := recover(); r != nil {
			err = merry.Errorf("decoding kept decisions: %v", r)
		}
	}()
	size, err := s2.DecodedLen(value)
	if err != nil || size > mostValue {
		return nil, merry.Errorf("kept decisions are damaged or too long: %d bytes", size)
	}
	data, err := s2.Decode(nil, value)
	if err != nil {
		return nil, merry.Prepend(err, "decompressing kept decisions")
	}
	if err := msgpack.Unmarshal(data, &events); err != nil {
		return nil, merry.Prepend(err, "decoding kept decisions")
	}
	for i := range events {
		events[i].At = events[i].At.UTC()
	}
	return events, nil
}
