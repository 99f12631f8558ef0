// Package loop runs control steps one after another on a single goroutine.
package loop

import (
	"context"

	"github.com/ansel1/merry/v2"
)

const backlog = 1024

// ErrStopped means that the loop has ended and the step did not run.
var ErrStopped = merry.New("loop: stopped")

// Loop owns the control state of a node: only steps given to it may touch that state.
// Steps must not block; I/O belongs to other goroutines, which post their results back.
type Loop struct {
	steps chan func()
	done  chan struct{}
}

// NewLoop returns a loop that runs steps once Run is called.
func NewLoop() *Loop {
	return &Loop{steps: make(chan func(), backlog), done: make(chan struct{})}
}

// Run executes steps until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case step := <-l.steps:
			step()
		}
	}
}

// Post queues a step and returns without waiting for it; it waits only while the backlog is full.
func (l *Loop) Post(step func()) error {
	select {
	case <-l.done:
		return ErrStopped
	case l.steps <- step:
		return nil
	}
}

// Do queues a step and waits until it ran.
// Where ctx ends first the step may still run later, so it must not touch the caller's variables unless that is safe.
func (l *Loop) Do(ctx context.Context, step func()) error {
	ran := make(chan struct{})
	err := l.Post(func() {
		defer close(ran)
		step()
	})
	if err != nil {
		return err
	}
	select {
	case <-ran:
		return nil
	case <-l.done:
		return ErrStopped
	case <-ctx.Done():
		return merry.Prepend(ctx.Err(), "waiting for a control step")
	}
}

// Get runs a step that returns a value and waits for it.
func Get[T any](ctx context.Context, l *Loop, step func() T) (T, error) {
	result := make(chan T, 1)
	err := l.Do(ctx, func() { result <- step() })
	if err != nil {
		var zero T
		return zero, err
	}
	return <-result, nil
}
