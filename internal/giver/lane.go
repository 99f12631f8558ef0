package giver

import (
	"context"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/pace"
	"damaskreach/internal/want"
)

// lateness is how long a prompt counts as sent of late: streams run for some seconds.
const lateness = 2500 * time.Millisecond

// lane lets prompts go to one engine in turn. It has a goroutine of its own: an order that gets no answer must not hold up
// requests for what the engine holds already.
type lane struct {
	wake chan struct{}

	mu      sync.Mutex
	waiting []waiter
	pace    pace.Pace
	sent    []time.Time // of the newest prompts
}

func newLane(ctx context.Context) *lane {
	l := &lane{wake: make(chan struct{}, 1)}
	go l.run(ctx)
	return l
}

func (l *lane) run(ctx context.Context) {
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			l.refuse(want.ErrElsewhere)
			return
		case <-timer.C:
		case <-l.wake:
		}
		timer.Reset(l.send())
	}
}

// add takes a waiter whose adapter is loaded: where it has a prompt to send, that waits for its turn.
func (l *lane) add(w waiter) {
	if w.Cost == 0 {
		w.done <- nil
		return
	}
	l.mu.Lock()
	l.waiting = append(l.waiting, w)
	l.mu.Unlock()
	l.nudge()
}

func (l *lane) nudge() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// send grants the prompts that may go now, the most urgent first, and returns when the next one may.
func (l *lane) send() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	slices.SortStableFunc(l.waiting, func(a, b waiter) int { return a.Rank - b.Rank })
	kept := l.waiting[:0]
	next := idle
	ahead := l.pace.Backlog(now)
	for _, w := range l.waiting {
		if w.left() {
			continue
		}
		wait := l.pace.Wait(now, w.Cost, w.Room, w.Tail)
		switch {
		case len(kept) == 0 && wait == 0:
			l.pace.Send(now, w.Cost, w.Tail)
			l.sent = append(l.sent, now)
			w.done <- nil
		case w.Bound > 0 && max(wait, ahead) > w.Bound:
			w.done <- want.ErrCrowded
		default:
			// Nothing overtakes it: small prompts would keep a large one waiting for ever.
			next = min(next, max(wait, time.Millisecond))
			kept = append(kept, w)
			ahead += w.Cost
		}
	}
	l.waiting = kept
	return next
}

// recent returns how many prompts were sent of late, which is about as many as run.
func (l *lane) recent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := 0
	for old < len(l.sent) && time.Since(l.sent[old]) > lateness {
		old++
	}
	l.sent = l.sent[old:]
	return len(l.sent)
}

// wait returns how long a prompt would wait that comes now.
func (l *lane) wait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.pace.Backlog(time.Now())
	for _, w := range l.waiting {
		sum += w.Cost
	}
	return sum
}

// refuse ends all waiting.
func (l *lane) refuse(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.waiting {
		w.done <- err
	}
	l.waiting = nil
}
