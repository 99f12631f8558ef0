// Package sched decides what the owner of one runner starts, loads, unloads and refuses.
//
// It does no I/O and starts no goroutines: time is an argument, decisions are returned as orders, and equal inputs give equal
// orders. A Sched is used from one goroutine.
package sched

import (
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/policy"
	"damaskreach/internal/runner"
	"damaskreach/internal/tune"
)

// Sched is the scheduler of one runner. The caller carries its orders out and reports the results, failed or not: Finish for
// every Start, Loaded for every Load, and Unloaded for every Unload, or UnloadUnsent if an Unload was not sent.
type Sched struct {
	runner          runner.Runner
	tune            tune.Tune
	policy          policy.Policy
	slots           int
	batch           int
	boot            string    // of the engine's last report
	known           bool      // a report has arrived
	now             time.Time // latest time seen, for methods without a time argument
	unloadsHeld     bool      // earlier owners may use any model
	closeReason     string    // why no work is accepted; empty while it is
	stuckSince      time.Time // since when no slot can be freed; zero while one can
	stuckReason     string    // why no slot can be freed
	unsentUnloads   int       // consecutive
	noUnloadBefore  time.Time // after an unload could not be sent
	serial          int64     // of the last submitted item
	queue           []*item   // oldest first
	running         map[string]*item
	models          map[string]*model
	held            []*model       // models that hold a slot, by name
	copies          map[string]int // number of runners that have each model resident
	keepResident    map[string]bool
	shares          *shares
	seen            *recent
	loadTime        estimate // from order to confirmation
	minLoadSeconds  floor
	minTokenSeconds floor
	minTokenShare   floor    // of the expected answer tokens
	answerTime      estimate // of a whole answer
	orders          []order.Order
}

// NewSched returns a scheduler for r with the current policy. It orders no loads until the engine's first report says what is
// resident.
func NewSched(r runner.Runner, t tune.Tune) *Sched {
	return NewVariant(r, t, policy.Current())
}

// NewVariant returns a scheduler with policy p, for comparisons.
func NewVariant(r runner.Runner, t tune.Tune, p policy.Policy) *Sched {
	return &Sched{
		runner:          r,
		tune:            t,
		policy:          p,
		slots:           r.Slots,
		batch:           max(1, r.Batch),
		running:         map[string]*item{},
		models:          map[string]*model{},
		shares:          newShares(),
		seen:            newRecent(),
		loadTime:        estimate{value: initialLoadTime},
		minLoadSeconds:  floor{value: initialFloorShare * initialLoadTime.Seconds()},
		minTokenSeconds: floor{value: initialFloorShare * initialTokenTime.Seconds()},
		minTokenShare:   floor{value: initialFloorShare},
		answerTime:      estimate{value: initialAnswerTime},
	}
}

// Running returns how many requests are in progress.
func (s *Sched) Running() int {
	return len(s.running)
}

// QueueFull reports whether the queue is full. The caller publishes the digest at once when this ends, so that other nodes do not
// refuse requests that would fit.
func (s *Sched) QueueFull() bool {
	return len(s.queue) >= max(1, s.tune.Queue)
}

// Waiting returns how many attempts are queued. While there are none, time alone changes little.
func (s *Sched) Waiting() int {
	return len(s.queue)
}

// InUse returns how many requests in progress use model.
func (s *Sched) InUse(name string) int {
	if m := s.models[name]; m != nil {
		return m.running
	}
	return 0
}

// SetTune applies new options.
func (s *Sched) SetTune(t tune.Tune) []order.Order {
	s.tune = t
	return s.plan(s.now)
}

// SetWeight sets the fair share of a tenant; a weight below 1 counts as 1.
func (s *Sched) SetWeight(tenant string, weight int) {
	s.shares.setWeight(tenant, weight)
}

// Tick reconsiders all decisions that depend on time. It is called about every 50 ms.
func (s *Sched) Tick(now time.Time) []order.Order {
	s.dropUnused(now)
	return s.plan(now)
}

// takeOrders returns and clears the collected orders.
func (s *Sched) takeOrders() []order.Order {
	out := s.orders
	s.orders = nil
	return out
}
