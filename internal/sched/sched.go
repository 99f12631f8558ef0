// Package sched decides what the owner of one runner starts, loads, unloads and refuses.
//
// It does no I/O and starts no goroutines: time comes in as an argument, decisions go out as orders,
// and equal inputs give equal orders. A Sched is used from one goroutine.
package sched

import (
	"time"

	"damaskreach/internal/order"
	"damaskreach/internal/policy"
	"damaskreach/internal/runner"
	"damaskreach/internal/tune"
)

// Sched is what the owner of one runner knows and decides.
// The driver carries its orders out and tells it of the results: Finish for every Start,
// Loaded for every Load and Unloaded for every Unload, whether they worked or not, or Unsent where an Unload was not sent.
type Sched struct {
	runner  runner.Runner
	tune    tune.Tune
	policy  policy.Policy
	slots   int
	batch   int
	boot    string    // of the engine's last report
	known   bool      // a report has come
	now     time.Time // latest time seen, for the methods that get none
	hold    bool      // no unloads, since earlier owners may use any model
	closed  string    // why no work is taken; empty while it is
	stuck   time.Time // since when no slot can be freed; zero while one can
	noRoom  string    // why none can
	unsent  int       // unloads in a row that could not be sent
	unloads time.Time // no unload before, after one could not be sent
	serial  int64     // of the last submitted item
	queue   []*item   // oldest first
	running map[string]*item
	models  map[string]*model
	held    []*model       // those that hold a slot, by name
	copies  map[string]int // runners that have each model resident
	kept    map[string]bool
	shares  *shares
	seen    *recent
	load    estimate // time of one load, order to confirmation
	fast    floor    // seconds of one load
	pace    floor    // seconds of one answer token
	short   floor    // answer tokens as a share of the expected ones
	answer  estimate // time of one whole answer
	out     []order.Order
}

// NewSched returns a scheduler of r that follows the current policy.
// It orders no loads until the engine's first report says what is resident.
func NewSched(r runner.Runner, t tune.Tune) *Sched {
	return NewVariant(r, t, policy.Current())
}

// NewVariant returns a scheduler that follows p, for comparisons.
func NewVariant(r runner.Runner, t tune.Tune, p policy.Policy) *Sched {
	return &Sched{
		runner:  r,
		tune:    t,
		policy:  p,
		slots:   r.Slots,
		batch:   max(1, r.Batch),
		running: map[string]*item{},
		models:  map[string]*model{},
		shares:  newShares(),
		seen:    newRecent(),
		load:    estimate{value: firstLoad},
		fast:    floor{value: surely * firstLoad.Seconds()},
		pace:    floor{value: surely * firstPace.Seconds()},
		short:   floor{value: surely},
		answer:  estimate{value: firstAnswer},
	}
}

// Running returns how many requests are in progress.
func (s *Sched) Running() int {
	return len(s.running)
}

// Full reports whether the admission queue is at its bound. A driver publishes the digest at once when this ends:
// other nodes would refuse requests in the meantime that have a place.
func (s *Sched) Full() bool {
	return len(s.queue) >= max(1, s.tune.Queue)
}

// Waiting returns how many attempts are queued. While none is, the passing of time changes little.
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

// Tune puts new options in force.
func (s *Sched) Tune(t tune.Tune) []order.Order {
	s.tune = t
	return s.plan(s.now)
}

// Weigh sets the fair share of a tenant against others; a weight below 1 counts as 1.
func (s *Sched) Weigh(tenant string, weight int) {
	s.shares.weigh(tenant, weight)
}

// Tick reconsiders everything that the passing of time changes. It is called about every 50 ms.
func (s *Sched) Tick(now time.Time) []order.Order {
	s.forget(now)
	return s.plan(now)
}

// take returns the collected orders and starts a new collection.
func (s *Sched) take() []order.Order {
	out := s.out
	s.out = nil
	return out
}
