// Package spool writes where streams began into rows of the store, for hosts that start after all were killed.
//
// It is used only while a group runs several builds. A host writes what has begun since its last row, so that the number of calls does not grow with the number of
// streams, and the interval grows with the number of hosts that write, so that all of them together make no more calls.
package spool

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"damaskreach/internal/began"
	"damaskreach/internal/origin"
	"damaskreach/internal/rows"
	"damaskreach/internal/table"
	"damaskreach/internal/ticker"
)

const (
	// minInterval is the shortest time between two writes of a host: of streams that began since the last one nobody knows if all hosts are killed. Streams
	// last some seconds.
	minInterval = 300 * time.Millisecond
	// maxRate is how many writes all hosts that write make together per second, a small part of what the store takes.
	maxRate = 50
	// slots is how many rows a host has, one for each second. Each is overwritten after as many seconds, when callers no longer come back with its streams.
	slots = 64
	// maxRow bounds the streams of one row, some 60 bytes each, and maxQueued those that wait to be written.
	maxRow, maxQueued = 500, 5000
	// callTimeout bounds a call to the store, and maxEdits the rows that one removes.
	callTimeout = 2 * time.Second
	maxEdits    = 90
)

// Spool may be used from several goroutines. Its exported fields are set before it is used.
type Spool struct {
	Table  table.Table
	Prefix string // of the keys
	Host   string // name of this host in its keys
	// Writers returns how many hosts write as often as this one, itself included.
	Writers func() int
	Log     *zap.Logger

	mu     sync.Mutex
	queued []began.Began

	slot    int64         // of the last write; it belongs to the goroutine of Run, like written
	written []began.Began // in that slot
}

// row is the value of one row.
type row struct {
	At      int64         `msgpack:"t"` // Unix time in ms
	Streams []began.Began `msgpack:"s"`
}

// Add queues streams to be written. Where too many wait, the oldest are dropped.
func (s *Spool) Add(list []began.Began) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued = append(s.queued, list...)
	s.queued = s.queued[max(0, len(s.queued)-maxQueued):]
}

// Run writes what is queued until ctx ends.
func (s *Spool) Run(ctx context.Context) {
	for ticker.Sleep(ctx, s.interval()) {
		if err := s.write(ctx); err != nil {
			s.Log.Info("beginnings of streams not written", zap.Error(err))
		}
	}
}

// interval returns the time between two writes of this host.
func (s *Spool) interval() time.Duration {
	return max(minInterval, time.Duration(s.Writers())*time.Second/maxRate)
}

// write adds what is queued to the row of the current second.
func (s *Spool) write(ctx context.Context) error {
	now := time.Now()
	if slot := now.Unix() % slots; slot != s.slot {
		s.slot, s.written = slot, nil
	}
	list := s.take(maxRow - len(s.written))
	if len(list) == 0 {
		return nil
	}
	all := slices.Concat(s.written, list)
	value, err := msgpack.Marshal(row{At: now.UnixMilli(), Streams: all})
	if err != nil {
		return merry.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := fmt.Sprintf("%s%s/%02d", s.Prefix, s.Host, s.slot)
	if _, err := s.Table.Write(ctx, rows.Row{Key: key, Value: value, Rev: rows.AnyRev}); err != nil {
		s.Add(list)
		return err
	}
	s.written = all
	return nil
}

// take removes the newest of the queued streams, up to a number.
func (s *Spool) take(most int) []began.Began {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := max(0, len(s.queued)-most)
	list := s.queued[first:]
	s.queued = s.queued[:first:first]
	return list
}

// Load returns the streams that callers may still come back with, of all hosts.
func (s *Spool) Load(ctx context.Context) (streams []began.Began, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, _, err := s.Table.List(ctx, s.Prefix)
	if err != nil {
		return nil, err
	}
	for _, stored := range list {
		var r row
		if err := msgpack.Unmarshal(stored.Value, &r); err != nil {
			s.Log.Warn("invalid beginnings of streams", zap.String("key", stored.Key), zap.Error(err))
			continue
		}
		if time.Since(time.UnixMilli(r.At)) <= origin.Retention {
			streams = append(streams, r.Streams...)
		}
	}
	return streams, nil
}

// Clear removes rows of all hosts, as many as fit into one write. It reports whether none is left.
func (s *Spool) Clear(ctx context.Context) (empty bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, _, err := s.Table.List(ctx, s.Prefix)
	if err != nil || len(list) == 0 {
		return err == nil, err
	}
	edits := make([]rows.Row, 0, maxEdits)
	for _, stored := range list[:min(len(list), maxEdits)] {
		edits = append(edits, rows.Row{Key: stored.Key, Gone: true, Rev: rows.AnyRev})
	}
	_, err = s.Table.Write(ctx, edits...)
	return false, err
}
