// Package loads schedules the adapter loads of the engines that share a weight store.
//
// It does no I/O and starts no goroutines: the time is an argument, and equal inputs give equal grants.
package loads

import (
	"cmp"
	"slices"
	"time"

	"damaskreach/internal/permit"
	"damaskreach/internal/policy"
	"damaskreach/internal/reason"
)

// prefetchUrgency ranks a load that no request waits for behind all others.
const prefetchUrgency = -30.0

// Loads is the load scheduler of one weight store. It grants one permit at a time, so that each load runs at full speed,
// within the store's rate, the most urgent load first.
type Loads struct {
	interval  time.Duration // least time between two grants
	lease     time.Duration // a permit not released within it expires
	policy    policy.Policy
	queue     []*request
	held      *request // the permit in use
	heldUntil time.Time
	nextGrant time.Time // earliest time of the next grant
}

// request is a queued request for a permit.
type request struct {
	owner       string
	runner      string
	model       string
	urgency     float64
	requestedAt time.Time
}

// NewLoads returns a scheduler for a store that allows rate loads a second, with permits that expire after lease.
func NewLoads(rate float64, lease time.Duration) *Loads {
	return NewWithPolicy(rate, lease, policy.Current())
}

// NewWithPolicy returns a scheduler that follows p, to compare policies.
func NewWithPolicy(rate float64, lease time.Duration, p policy.Policy) *Loads {
	return &Loads{interval: time.Duration(float64(time.Second) / rate), lease: lease, policy: p}
}

// Request asks for a permit to load model into runner, with an urgency in seconds of age.
// A repeated request updates the urgency and keeps the age.
func (l *Loads) Request(now time.Time, owner, runner, model string, urgency float64) []permit.Permit {
	if a := l.findQueued(runner, model); a != nil {
		a.owner, a.urgency = owner, urgency
	} else if !l.holdsPermit(runner, model) {
		l.queue = append(l.queue, &request{owner: owner, runner: runner, model: model, urgency: urgency, requestedAt: now})
	}
	return l.Tick(now)
}

// SetRate changes the rate of the store, in loads a second.
func (l *Loads) SetRate(rate float64) {
	interval := time.Duration(float64(time.Second) / rate)
	l.nextGrant = l.nextGrant.Add(interval - l.interval)
	l.interval = interval
}

// Urgency returns the urgency of a load order in seconds: the longest wait of a request for it. A prefetch ranks behind every
// load that requests wait for.
func Urgency(why reason.Reason) float64 {
	if why.Waiting == 0 {
		return prefetchUrgency
	}
	return why.Wait.Seconds()
}

// Release returns a permit or cancels a queued request.
func (l *Loads) Release(now time.Time, runner, model string) []permit.Permit {
	if l.holdsPermit(runner, model) {
		l.held = nil
	}
	l.queue = slices.DeleteFunc(l.queue, func(a *request) bool { return a.runner == runner && a.model == model })
	return l.Tick(now)
}

// Tick drops an expired permit and grants the next one when due. Without expiry, a holder that died would block all loads of
// the site.
func (l *Loads) Tick(now time.Time) []permit.Permit {
	if l.held != nil && !now.Before(l.heldUntil) {
		l.held = nil
	}
	if l.held != nil || len(l.queue) == 0 || now.Before(l.nextGrant) {
		return nil
	}
	next := slices.MinFunc(l.queue, l.compare)
	l.queue = slices.DeleteFunc(l.queue, func(a *request) bool { return a == next })
	l.held = next
	l.heldUntil = now.Add(l.lease)
	l.nextGrant = now.Add(l.interval)
	return []permit.Permit{{Owner: next.owner, Runner: next.runner, Model: next.model, Until: l.heldUntil}}
}

// NextGrant returns when Tick may next grant a permit; zero if no request is queued.
func (l *Loads) NextGrant() time.Time {
	switch {
	case len(l.queue) == 0:
		return time.Time{}
	case l.held != nil:
		return l.heldUntil
	default:
		return l.nextGrant
	}
}

// Waiting returns the number of queued requests.
func (l *Loads) Waiting() int {
	return len(l.queue)
}

// compare orders requests by urgency, then age. A second of age counts as one of urgency, so that no request starves.
func (l *Loads) compare(a, b *request) int {
	if l.policy.Urgent {
		later := b.requestedAt.Sub(a.requestedAt).Seconds()
		if a.urgency+later != b.urgency {
			return cmp.Compare(b.urgency, a.urgency+later)
		}
	}
	if !a.requestedAt.Equal(b.requestedAt) {
		return a.requestedAt.Compare(b.requestedAt)
	}
	return cmp.Or(cmp.Compare(a.runner, b.runner), cmp.Compare(a.model, b.model))
}

func (l *Loads) findQueued(runner, model string) *request {
	for _, a := range l.queue {
		if a.runner == runner && a.model == model {
			return a
		}
	}
	return nil
}

func (l *Loads) holdsPermit(runner, model string) bool {
	return l.held != nil && l.held.runner == runner && l.held.model == model
}
