// Package flow bounds how many loads a host has on their way, by how long loads take.
//
// A weight store serves some loads at full speed; with more on their way each takes longer in proportion, so that nothing
// is gained and the first one comes as late as the last. One would notice loads that take three times as long as usual
// while requests could have waited in an order of their own. The store's bound is not told and all hosts share it, so
// each finds its part as hosts on a network find theirs: a little more while loads take as long as they should, less as
// soon as they take longer.
package flow

import (
	"sync"
	"time"
)

const (
	// least and most bound the window.
	least = 1
	most  = 64
	// first is the window until something was measured: with a handful of hosts some loads at once each.
	first = 4
	// slow is how many times the usual a load takes when there are too many.
	slow = 1.8
	// cut is what is left of the window after a slow load.
	cut = 0.9
	// usualFor is how long the shortest load is taken for the usual one; the store may have become slower for good.
	usualFor = 20 * time.Second
	// stuck is when a load that has not ended stops counting: its engine is gone.
	stuck = 5 * time.Second
	// asking is how long an engine counts as wanting a load after it has asked: some times the pause between two tries.
	asking = 80 * time.Millisecond
)

// Flow may be used from several goroutines.
type Flow struct {
	mu     sync.Mutex
	window float64
	under  map[int64]time.Time // loads on their way, by number
	number int64
	usual  time.Duration
	usedAt time.Time // when usual was measured
	cutAt  time.Time
	asks   map[string]ask // engines that want a load to begin
}

// ask is how urgent the next load of an engine is.
type ask struct {
	late bool      // nobody would be on time
	by   time.Time // when it must begin for somebody to be on time
	at   time.Time
}

// before reports whether one load goes before another one.
func (a ask) before(b ask) bool {
	if a.late != b.late {
		return b.late
	}
	return a.by.Before(b.by)
}

// NewFlow returns a flow that has measured nothing.
func NewFlow() *Flow {
	return &Flow{window: first, under: map[int64]time.Time{}, asks: map[string]ask{}}
}

// Begin reports whether a load at an engine may begin, and begins it; end takes whether it came from the store and succeeded.
// By is when it must begin for its request to be on time. Where more engines ask than may begin, those that can be on time go
// first, the most pressing before others: in order of asking, a burst makes all that come behind it late as well.
func (f *Flow) Begin(engine string, by, now time.Time) (end func(now time.Time, counts bool), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, since := range f.under {
		if now.Sub(since) > stuck {
			delete(f.under, n)
		}
	}
	mine := ask{late: by.Before(now), by: by, at: now}
	f.asks[engine] = mine
	if float64(len(f.under)+1) > max(least, f.window) || f.behind(engine, mine) {
		return nil, false
	}
	delete(f.asks, engine)
	f.number++
	n := f.number
	f.under[n] = now
	return func(at time.Time, counts bool) { f.end(n, now, at, counts) }, true
}

// behind reports whether another engine wants a load that is more urgent.
func (f *Flow) behind(engine string, mine ask) bool {
	for other, a := range f.asks {
		if mine.at.Sub(a.at) > asking {
			delete(f.asks, other)
			continue
		}
		if other != engine && a.before(mine) {
			return true
		}
	}
	return false
}

// Spare reports whether less than half of what may be on its way is: enough for one more that nobody waits for.
func (f *Flow) Spare(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	under := 0
	for _, since := range f.under {
		if now.Sub(since) <= stuck {
			under++
		}
	}
	return float64(2*under) < f.window
}

func (f *Flow) end(n int64, since, now time.Time, counts bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	full := float64(len(f.under)+1) > f.window
	delete(f.under, n)
	if !counts {
		return
	}
	took := now.Sub(since)
	if f.usual == 0 || took < f.usual || now.Sub(f.usedAt) > usualFor {
		f.usual, f.usedAt = took, now
	}
	switch {
	case float64(took) > slow*float64(f.usual):
		if now.Sub(f.cutAt) > f.usual {
			f.window = max(least, cut*f.window)
			f.cutAt = now
		}
	case full:
		f.window = min(most, f.window+1/f.window)
	}
}

// Usual returns how long a load takes that nothing holds up; zero before one was measured.
func (f *Flow) Usual() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.usual
}
