package proxy

import (
	"io"
	"time"
)

const (
	// minReadPause is how long a caller must not have read for its upstream to be assumed to have given up on the answer.
	minReadPause = time.Second
	// readPauseGrace is how long after such a pause the upstream's break may be seen: what it wrote before is read first.
	readPauseGrace = time.Second
)

// pausedBody is the body of an answer that records pauses between reads, which come from a caller that reads slowly.
type pausedBody struct {
	io.Reader
	lastRead  time.Time // when the last read ended
	lastPause time.Time // when the last long pause before a read ended
}

// Read reads from the body.
func (b *pausedBody) Read(p []byte) (int, error) {
	now := time.Now()
	if !b.lastRead.IsZero() && now.Sub(b.lastRead) >= minReadPause {
		b.lastPause = now
	}
	n, err := b.Reader.Read(p)
	b.lastRead = time.Now()
	return n, err
}

// excusesBreak reports whether an upstream that breaks off now may have done so because its answer was not read.
func (b *pausedBody) excusesBreak() bool {
	return !b.lastPause.IsZero() && time.Since(b.lastPause) < readPauseGrace
}
