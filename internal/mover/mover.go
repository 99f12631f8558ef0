// Package mover finds another upstream for a stream that has fallen silent.
//
// The upstream may only be slow. So its stream is cut only once there is a place elsewhere, and until then the caller still gets the rest from it.
package mover

import (
	"context"
	"sync"
	"time"

	"damaskreach/internal/ticker"
)

// Mover watches one stream. P is a place where it may continue. Its fields are set before it is used.
type Mover[P any] struct {
	// MaxSilence is for how long the stream may bring no event before another place is looked for.
	MaxSilence time.Duration
	// Interval is the pause between two attempts to find a place.
	Interval time.Duration
	// Find looks for a place, Release gives one back that is not used; nil where the stream must not be moved.
	Find    func(ctx context.Context) (P, bool)
	Release func(unused P)
	// Cut ends the stream.
	Cut func()

	mu           sync.Mutex
	timer        *time.Timer
	cancelSearch context.CancelFunc // ends the current search; nil if there is none
	next         *P                 // set when the stream is cut
	lastEventAt  time.Time          // when the last event came, or the wait for the next one began
	begun        bool               // an event has come
	ended        bool
}

// Start begins the watch, until ctx ends or End is called.
func (m *Mover[P]) Start(ctx context.Context) {
	if m.Find == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.timer = time.AfterFunc(m.MaxSilence, func() { m.search(ctx) })
}

// search finds another place and cuts the stream off, unless the stream resumes by itself first.
func (m *Mover[P]) search(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	m.mu.Lock()
	if m.ended || m.cancelSearch != nil || time.Since(m.lastEventAt) < m.MaxSilence {
		m.mu.Unlock()
		return
	}
	m.cancelSearch = cancel
	m.mu.Unlock()
	for ctx.Err() == nil {
		next, ok := m.Find(ctx)
		if ok && m.moveTo(ctx, next) {
			return
		}
		if ok {
			m.Release(next)
		}
		ticker.Sleep(ctx, m.Interval)
	}
}

// moveTo cuts the stream off, to continue at next. It reports false if the stream is no longer silent.
func (m *Mover[P]) moveTo(ctx context.Context, next P) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		return false
	}
	m.next = &next
	m.Cut()
	return true
}

// StartWaiting records that the next event is awaited. Time spent writing to a caller that reads slowly doesn't count as
// silence of the upstream.
func (m *Mover[P]) StartWaiting() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next != nil {
		return
	}
	m.lastEventAt = time.Now()
	if m.timer != nil {
		m.timer.Reset(m.MaxSilence)
	}
}

// EventReceived records that the stream goes on.
func (m *Mover[P]) EventReceived() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.next != nil {
		return
	}
	m.stopSearch()
	m.begun, m.lastEventAt = true, time.Now()
	if m.timer != nil {
		m.timer.Stop()
	}
}

// HasBegun reports whether an event has come.
func (m *Mover[P]) HasBegun() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.begun
}

// Silent reports whether the stream has been silent for long enough to be moved, whether or not it may be.
func (m *Mover[P]) Silent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.lastEventAt) >= m.MaxSilence
}

// End ends the watch. It returns where the stream continues, or nil if it was not cut.
func (m *Mover[P]) End() *P {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	if m.timer != nil {
		m.timer.Stop()
	}
	m.stopSearch()
	return m.next
}

// stopSearch ends the current search, if any. The caller must hold the lock.
func (m *Mover[P]) stopSearch() {
	if m.cancelSearch != nil {
		m.cancelSearch()
		m.cancelSearch = nil
	}
}
