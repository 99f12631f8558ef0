package engsim

import (
	"slices"
	"time"

	"damaskreach/internal/stand/recrd"
)

// Crash cuts every connection, forgets what was loaded, and restarts cold after Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	old := e.boot
	for _, r := range slices.Concat(old.running, old.waiting) {
		e.settle(r, recrd.Cut)
	}
	for i, rec := range e.log {
		// A run whose last token was generated but not yet sent has left the batch already.
		if rec.End == "" && rec.Boot == old.id {
			e.log[i] = rec.WithEnd(recrd.Cut, time.Now())
		}
	}
	e.power.Crash(e.Restart)
	e.boot = newBoot(e.power.Boot())
	e.past = nil
	if e.Forgets {
		e.fence = 0
	}
}

// FailLoads makes the next n loads fail.
func (e *Engine) FailLoads(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fails = n
}

// Slow multiplies the time of each following step by factor.
func (e *Engine) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// Records returns the engine's own account of the requests it accepted, oldest first.
func (e *Engine) Records() []recrd.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.log)
}

// Breaches returns the orders by which the engine was made to break a running request.
func (e *Engine) Breaches() []recrd.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.wrong)
}
