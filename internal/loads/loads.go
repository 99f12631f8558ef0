// Package loads decides in which order a weight store serves the loads of its engines.
//
// It does no I/O and starts no goroutines: time comes in as an argument and equal inputs give equal grants.
package loads

import (
	"cmp"
	"slices"
	"time"

	"damaskreach/internal/permit"
	"damaskreach/internal/policy"
	"damaskreach/internal/reason"
)

// aheadUrgency puts a load that nobody waits for behind every other one.
const aheadUrgency = -30.0

// Loads is the load scheduler of one weight store: it grants one load at a time, which then runs at full speed,
// never above the store's rate, the most urgent first.
type Loads struct {
	every  time.Duration // least time between two grants
	lease  time.Duration // a permit not returned by then is void
	policy policy.Policy
	queue  []*ask
	held   *ask // the permit in use
	until  time.Time
	next   time.Time // no grant before
}

// ask is a request for a permit.
type ask struct {
	owner   string
	runner  string
	model   string
	urgency float64
	at      time.Time
}

// NewLoads returns a scheduler for a store that allows rate loads a second, whose permits expire after lease.
func NewLoads(rate float64, lease time.Duration) *Loads {
	return NewVariant(rate, lease, policy.Current())
}

// NewVariant returns a scheduler that follows p, for comparisons.
func NewVariant(rate float64, lease time.Duration, p policy.Policy) *Loads {
	return &Loads{every: time.Duration(float64(time.Second) / rate), lease: lease, policy: p}
}

// Request asks for a permit to load model into runner; urgency is in seconds of age.
// Asked again it updates the urgency and keeps the age.
func (l *Loads) Request(now time.Time, owner, runner, model string, urgency float64) []permit.Permit {
	if a := l.find(runner, model); a != nil {
		a.owner, a.urgency = owner, urgency
	} else if !l.holds(runner, model) {
		l.queue = append(l.queue, &ask{owner: owner, runner: runner, model: model, urgency: urgency, at: now})
	}
	return l.Tick(now)
}

// Pace puts another rate of the store in force, in loads a second.
func (l *Loads) Pace(rate float64) {
	every := time.Duration(float64(time.Second) / rate)
	l.next = l.next.Add(every - l.every)
	l.every = every
}

// Urgency turns the reason of a load order into seconds of age: the longest wait of a request for it.
// A load ahead of demand comes after every load that requests wait for.
func Urgency(why reason.Reason) float64 {
	if why.Waiting == 0 {
		return aheadUrgency
	}
	return why.Wait.Seconds()
}

// Done returns a permit or takes a request back.
func (l *Loads) Done(now time.Time, runner, model string) []permit.Permit {
	if l.holds(runner, model) {
		l.held = nil
	}
	l.queue = slices.DeleteFunc(l.queue, func(a *ask) bool { return a.runner == runner && a.model == model })
	return l.Tick(now)
}

// Tick voids a permit whose lease ran out and grants the next one when it is due.
// A holder that died would otherwise stop every load of the site.
func (l *Loads) Tick(now time.Time) []permit.Permit {
	if l.held != nil && !now.Before(l.until) {
		l.held = nil
	}
	if l.held != nil || len(l.queue) == 0 || now.Before(l.next) {
		return nil
	}
	first := slices.MinFunc(l.queue, l.order)
	l.queue = slices.DeleteFunc(l.queue, func(a *ask) bool { return a == first })
	l.held = first
	l.until = now.Add(l.lease)
	l.next = now.Add(l.every)
	return []permit.Permit{{Owner: first.owner, Runner: first.runner, Model: first.model, Until: l.until}}
}

// Next returns when Tick may next have something to grant; zero where nothing waits.
func (l *Loads) Next() time.Time {
	switch {
	case len(l.queue) == 0:
		return time.Time{}
	case l.held != nil:
		return l.until
	default:
		return l.next
	}
}

// Waiting returns how many requests wait for a permit.
func (l *Loads) Waiting() int {
	return len(l.queue)
}

// order puts the most urgent request first, or the oldest. A second of age counts like one of urgency,
// so that no request is passed over for ever.
func (l *Loads) order(a, b *ask) int {
	if l.policy.Urgent {
		later := b.at.Sub(a.at).Seconds()
		if a.urgency+later != b.urgency {
			return cmp.Compare(b.urgency, a.urgency+later)
		}
	}
	if !a.at.Equal(b.at) {
		return a.at.Compare(b.at)
	}
	return cmp.Or(cmp.Compare(a.runner, b.runner), cmp.Compare(a.model, b.model))
}

func (l *Loads) find(runner, model string) *ask {
	for _, a := range l.queue {
		if a.runner == runner && a.model == model {
			return a
		}
	}
	return nil
}

func (l *Loads) holds(runner, model string) bool {
	return l.held != nil && l.held.runner == runner && l.held.model == model
}
