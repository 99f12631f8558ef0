package engsim

import (
	"slices"
	"time"
)

// steps runs the batch of one boot until nothing is left to run.
// It ends while idle, so that virtual time is not kept busy by an engine without work.
func (e *Engine) steps(b *boot) {
	for {
		wait, more := e.begin(b)
		if !more {
			return
		}
		if b.pause(wait) {
			e.advance(b)
		}
	}
}

// pause waits for d and reports whether it passed in full, which it does not once nothing is left to run.
func (b *boot) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-b.idle:
		return false
	case <-b.ctx.Done():
		return false
	}
}

// begin forms the batch of the next step and returns how long that step takes.
func (e *Engine) begin(b *boot) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-b.idle: // of runs that left before this step
	default:
	}
	joined := b.admit(e.Batch)
	if len(b.running) == 0 || b.ctx.Err() != nil {
		b.stepped = false
		return 0, false
	}
	if slices.ContainsFunc(joined, func(r *run) bool { return r.poison }) {
		e.crash()
		return 0, false
	}
	return e.cost(b, joined), true
}

// cost returns the time of a step for the batch of b, of which the runs of joined are new.
func (e *Engine) cost(b *boot, joined []*run) time.Duration {
	now := time.Now()
	models := make(map[string]bool, len(b.running))
	for _, r := range b.running {
		models[r.prefix.model] = true
	}
	wait := e.Step + time.Duration(len(b.running))*e.PerRequest + time.Duration(len(models))*e.PerAdapter
	for _, r := range joined {
		if !b.cache.use(r.prefix, e.Cached, now) {
			wait += e.Prefill
		}
	}
	return time.Duration(float64(wait) * e.slow)
}

// advance gives each run of the batch one token; runs that have all theirs leave it.
func (e *Engine) advance(b *boot) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stepped++
	left := b.running[:0]
	for _, r := range b.running {
		r.done = min(r.done+1, r.total)
		select {
		case r.wake <- struct{}{}:
		default:
		}
		if r.done < r.total {
			left = append(left, r)
			continue
		}
		e.log[r.record].Made = time.Now()
	}
	clear(b.running[len(left):])
	b.running = left
	e.note()
}

// Steps returns how many steps the engine has made.
func (e *Engine) Steps() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stepped
}

// progress returns how many tokens of r are generated.
func (e *Engine) progress(r *run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return r.done
}
