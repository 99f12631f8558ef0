package logger

import (
	"sync/atomic"
	"time"
)

// queue is the end of a queue that lines are put into.
type queue struct {
	lines   chan []byte
	most    int64 // lines a second
	dropped *atomic.Int64
	second  atomic.Int64
	count   atomic.Int64
}

func newQueue(dropped *atomic.Int64, length int, most int64) *queue {
	return &queue{lines: make(chan []byte, length), most: most, dropped: dropped}
}

// admit counts a line against the rate.
func (q *queue) admit() bool {
	now := time.Now().Unix()
	if q.second.Swap(now) != now {
		q.count.Store(0)
	}
	return q.count.Add(1) <= q.most
}

// Write queues a copy of a line or drops it.
func (q *queue) Write(line []byte) (int, error) {
	if !q.admit() {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: the writer writes each line at once.
func (q *queue) Sync() error { return nil }
