package gate

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"
)

type outcome[T any] struct {
	value T
	err   error
}

// Read takes one reading of a client through the gate.
func Read[T any](ctx context.Context, g *Gate, client string, work func() (T, error)) (T, error) {
	return call(ctx, g, client, g.reads, work)
}

// Write takes one write of a client through the gate; only a write that succeeds can lose its answer.
func Write[T any](ctx context.Context, g *Gate, client string, work func() (T, error)) (T, error) {
	return call(ctx, g, client, g.writes, func() (T, error) {
		value, err := work()
		if err == nil && g.loses() {
			return value, merry.Append(g.errLost, "after the write")
		}
		return value, err
	})
}

// call has the work done even if ctx ends first, as it would be in a service of its own.
func call[T any](ctx context.Context, g *Gate, client string, line *rate.Limiter, work func() (T, error)) (T, error) {
	var none T
	if err := ctx.Err(); err != nil {
		return none, merry.Wrap(g.errDown, merry.WithCause(err))
	}
	if g.refuses(client) {
		return none, merry.Append(g.errDown, "calling")
	}
	done := make(chan outcome[T], 1)
	schedule(g, line, work, func(value T, err error) { done <- outcome[T]{value, err} })
	select {
	case <-ctx.Done():
		return none, merry.Wrap(g.errLost, merry.WithCause(ctx.Err()))
	case o := <-done:
		if g.refuses(client) {
			return none, merry.Append(g.errLost, "waiting for the answer")
		}
		return o.value, o.err
	}
}

// schedule has the work done when its turn comes and then answers.
// It sets timers and starts no goroutine, so that a synctest bubble can end with calls still in line.
func schedule[T any](g *Gate, line *rate.Limiter, work func() (T, error), answer func(T, error)) {
	slow := g.slowness()
	after(line.Reserve().Delay()+slow/2, func() {
		if g.isDown() {
			var none T
			answer(none, merry.Append(g.errLost, "in line when the service went down"))
			return
		}
		value, err := work()
		after(slow/2, func() { answer(value, err) })
	})
}

func after(wait time.Duration, work func()) {
	if wait <= 0 {
		work()
		return
	}
	time.AfterFunc(wait, work)
}
